#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayshelf::fuzz
{

/** Result of a decoder for an input. */
enum class outcome
{
    refused,
    accepted,
    inconsistent ///< Accepted, but encoding and decoding changes the value.
};

/** A decoder of data from the network or from disk. */
struct decoder_target
{
    std::string name; ///< Also the name of its folder in the corpus.
    std::function<outcome(std::string_view)> run;
    std::vector<std::string> samples; ///< Well-formed inputs.
    std::vector<std::string> tokens;  ///< Words of a text format, for the mutator to insert.
};

/** Returns all decoders. */
std::vector<decoder_target> make_decoder_targets();

} // namespace carawayshelf::fuzz

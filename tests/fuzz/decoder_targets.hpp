#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayshelf::fuzz
{

/** What a decoder made of an input. */
enum class outcome
{
    refused,
    accepted,
    inconsistent ///< Accepted, but what it read doesn't come back as it was.
};

/** A decoder that reads what comes from the network or from a disk. */
struct decoder_target
{
    std::string name; ///< Also the folder of its corpus.
    std::function<outcome(std::string_view)> run;
    std::vector<std::string> samples; ///< Well-formed inputs.
    std::vector<std::string> tokens;  ///< Words of a text format.
};

/** All decoders. */
std::vector<decoder_target> make_decoder_targets();

} // namespace carawayshelf::fuzz

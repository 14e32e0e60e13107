/** @file
    fuzz_decoders: passes mutated inputs to every decoder of data from the network or from disk. Run
    it with a sanitizer. The same seed gives the same inputs.
*/
#include "decoder_targets.hpp"
#include "mutator.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

DEFINE_uint64(seed, 1, "seed of the run");
DEFINE_uint64(rounds, 20000, "number of inputs for each decoder");
DEFINE_uint64(seconds, 0, "time for each decoder; if it is not 0, rounds is ignored");
DEFINE_string(target, "", "name of the only decoder to run");
DEFINE_string(corpus, "", "folder that contains a folder of inputs for each decoder");
DEFINE_string(last_input, "",
              "file to which each input is written before it is decoded, so that an input that "
              "crashes the program is kept");
DEFINE_bool(write_corpus, false, "only write the well-formed samples to the corpus");

namespace
{

using namespace carawayshelf::fuzz;

constexpr int exit_fault = 1;
constexpr int exit_usage = 2;

/** Maximum number of accepted inputs that are added to the pool, to be mutated further. */
constexpr std::size_t max_added_inputs = 256;

constexpr std::uint64_t rounds_between_clock_reads = 256;

void write_file(const std::filesystem::path& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/** Returns the samples and the inputs of the corpus, sorted by path, so that the order does not
    depend on the file system. */
std::vector<std::string> make_initial_pool(const decoder_target& target)
{
    std::vector<std::string> pool = target.samples;
    const std::filesystem::path folder = std::filesystem::path(FLAGS_corpus) / target.name;
    std::set<std::filesystem::path> files;
    if (!FLAGS_corpus.empty() && std::filesystem::is_directory(folder))
    {
        for (const std::filesystem::directory_entry& item :
             std::filesystem::directory_iterator(folder))
        {
            files.insert(item.path());
        }
    }
    for (const std::filesystem::path& file : files)
    {
        pool.push_back(read_file(file));
    }
    return pool;
}

void write_samples(const decoder_target& target)
{
    const std::filesystem::path folder = std::filesystem::path(FLAGS_corpus) / target.name;
    std::filesystem::create_directories(folder);
    for (std::size_t i = 0; i < target.samples.size(); ++i)
    {
        write_file(folder / ("sample-" + std::to_string(i)), target.samples[i]);
    }
}

/** Runs the decoder on one input. */
outcome run_input(const decoder_target& target, const std::string& bytes)
{
    if (!FLAGS_last_input.empty())
    {
        write_file(FLAGS_last_input, bytes);
    }
    return target.run(bytes);
}

/** Returns whether no input was inconsistent and at least one was refused. */
bool fuzz(const decoder_target& target)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    std::vector<std::string> pool = make_initial_pool(target);
    for (const std::string& bytes : pool)
    {
        if (run_input(target, bytes) == outcome::inconsistent)
        {
            std::cout << target.name
                      << ": an input of the corpus is not the same after encoding and decoding\n";
            return false;
        }
    }
    const std::size_t initial_size = pool.size();
    mutator inputs(FLAGS_seed);
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    const auto is_over = [start](std::uint64_t round)
    {
        if (FLAGS_seconds == 0)
        {
            return round >= FLAGS_rounds;
        }
        return round % rounds_between_clock_reads == 0 &&
               std::chrono::steady_clock::now() - start >= std::chrono::seconds(FLAGS_seconds);
    };
    for (std::uint64_t round = 0; !is_over(round); ++round)
    {
        const std::string bytes = inputs.next(pool, target.tokens);
        const outcome result = run_input(target, bytes);
        if (result == outcome::inconsistent)
        {
            const std::string file = "inconsistent-" + target.name;
            write_file(file, bytes);
            std::cout << target.name << ": seed " << FLAGS_seed << ", round " << round
                      << ": the decoded value is not the same after encoding and decoding; see "
                      << file << '\n';
            return false;
        }
        const bool is_accepted = result == outcome::accepted;
        ++(is_accepted ? accepted : refused);
        if (is_accepted && pool.size() < initial_size + max_added_inputs)
        {
            pool.push_back(bytes);
        }
    }
    std::cout << target.name << ": " << accepted << " accepted, " << refused << " refused\n";
    return refused != 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("passes mutated inputs to the decoders");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<decoder_target> targets = make_decoder_targets();
    bool is_good = true;
    bool is_known = false;
    for (const decoder_target& target : targets)
    {
        if (!FLAGS_target.empty() && FLAGS_target != target.name)
        {
            continue;
        }
        is_known = true;
        if (FLAGS_write_corpus)
        {
            write_samples(target);
            continue;
        }
        is_good = fuzz(target) && is_good;
    }
    if (!is_known)
    {
        std::cerr << "there is no decoder " << FLAGS_target << "; the decoders are:\n";
        for (const decoder_target& target : targets)
        {
            std::cerr << "  " << target.name << '\n';
        }
        return exit_usage;
    }
    return is_good ? 0 : exit_fault;
}

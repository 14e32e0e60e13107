#pragma once

#include "carawayshelf_consensus/message.hpp"

#include <map>
#include <string>

namespace carawayshelf
{

/** A position in the log under a term. */
struct log_position
{
    term_number term = 0;
    log_index index = 0;
};

/** Keeps a request that was delayed on its way to the leader from undoing a later one.

    A request states a position that the log had reached while its sender was still waiting for the
    outcome. Whatever is accepted after the sender has given up has a higher index. So the leader
    admits a request only if it has proposed nothing about the same subject after that position. A
    position of another term is never admitted: what other leaders have proposed is not known here,
    and a leader that was replaced commits nothing more.

    Kept by the leader in memory; has no effect on the replicated state. Not thread-safe; no I/O.
*/
class order_fence
{
public:
    /** Subjects that are remembered; beyond that, one position stands for all earlier ones. */
    static constexpr std::size_t max_subjects = 10000;

    /** Whether nothing about the subject was proposed in this term after a position. */
    bool admits(term_number term, const std::string& subject, const log_position& known) const;

    /** Notes that a request about a subject was proposed. */
    void note(const log_position& proposed, const std::string& subject);

private:
    term_number term_ = 0;                  ///< Term in which the following were proposed.
    log_index floor_ = 0;                   ///< Last index of the subjects that were discarded.
    std::map<std::string, log_index> last_; ///< Index of the last request about each subject.
};

} // namespace carawayshelf

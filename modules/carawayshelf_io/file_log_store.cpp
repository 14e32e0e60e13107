#include "carawayshelf_io/file_log_store.hpp"

#include "carawayshelf_wire/frame_codec.hpp"

#include <fcntl.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace carawayshelf
{

namespace
{

constexpr std::uint32_t block_magic = 0x43524C47;
constexpr char hard_state_block = 'h';
constexpr char log_record_block = 'r';
constexpr char snapshot_block = 's';
constexpr int file_mode = 0644;
constexpr int folder_mode = 0755;

struct block_header
{
    std::uint32_t magic;
    std::uint32_t size;
    std::uint64_t checksum;
};

std::string make_block(char kind, std::string_view body)
{
    std::string content(1, kind);
    content.append(body);
    const block_header header{block_magic, static_cast<std::uint32_t>(content.size()),
                              XXH3_64bits(content.data(), content.size())};
    std::string block(sizeof(header), '\0');
    std::memcpy(block.data(), &header, sizeof(header));
    return block + content;
}

/** Reads the block at an offset. Returns false if it is incomplete or damaged. */
bool read_block(const std::string& file, std::size_t offset, std::string_view& content)
{
    block_header header{};
    if (file.size() - offset < sizeof(header))
    {
        return false;
    }
    std::memcpy(&header, file.data() + offset, sizeof(header));
    if (header.magic != block_magic || header.size > file.size() - offset - sizeof(header))
    {
        return false;
    }
    content = std::string_view(file).substr(offset + sizeof(header), header.size);
    return !content.empty() && XXH3_64bits(content.data(), content.size()) == header.checksum;
}

failure storage_failure(const std::string& operation)
{
    return make_failure(error_kind::storage_failed, operation + ": " + std::strerror(errno));
}

bool read_file(const std::string& name, std::string& content)
{
    std::ifstream stream(name, std::ios::binary);
    if (!stream)
    {
        return false;
    }
    std::ostringstream buffer;
    buffer << stream.rdbuf();
    content = buffer.str();
    return true;
}

failure write_all(int fd, std::string_view bytes, const std::string& name)
{
    while (!bytes.empty())
    {
        const ssize_t written = ::write(fd, bytes.data(), bytes.size());
        if (written <= 0)
        {
            return storage_failure("writing " + name);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

std::string encode_hard_state(const hard_state& hard)
{
    std::string bytes(sizeof(std::uint64_t) * 2, '\0');
    std::memcpy(bytes.data(), &hard.term, sizeof(std::uint64_t));
    std::memcpy(bytes.data() + sizeof(std::uint64_t), &hard.voted_for, sizeof(std::uint64_t));
    return bytes;
}

} // namespace

file_log_store::file_log_store(std::string folder, instance_slot slot)
    : folder_(std::move(folder)), slot_(slot)
{
}

std::string file_log_store::path(const std::string& name) const
{
    return folder_ + "/" + name;
}

failure file_log_store::load(stored_state& loaded)
{
    if (::mkdir(folder_.c_str(), folder_mode) != 0 && errno != EEXIST)
    {
        return storage_failure("creating the data folder " + folder_);
    }
    if (failure failed = load_identity(loaded))
    {
        return failed;
    }
    if (failure failed = load_snapshot(loaded))
    {
        return failed;
    }
    return load_log(loaded);
}

bool file_log_store::is_new() const
{
    std::string content;
    return !read_file(path("identity"), content);
}

failure file_log_store::create(const snapshot& base)
{
    if (::mkdir(folder_.c_str(), folder_mode) != 0 && errno != EEXIST)
    {
        return storage_failure("creating the data folder " + folder_);
    }
    hard_state_ = {base.term, 0};
    if (failure failed = save_snapshot(base, false))
    {
        return failed;
    }
    return replace_file("identity", std::to_string(first_identity(slot_)) + "\n");
}

failure file_log_store::load_identity(stored_state& loaded)
{
    std::string content;
    if (!read_file(path("identity"), content))
    {
        std::random_device device;
        const std::uint64_t random = (static_cast<std::uint64_t>(device()) << 32U) | device();
        loaded.identity = make_identity(slot_, random);
        return replace_file("identity", std::to_string(loaded.identity) + "\n");
    }
    std::istringstream text(content);
    if (!(text >> loaded.identity) || loaded.identity == 0)
    {
        return make_failure(error_kind::storage_corrupt, path("identity") + " is not a number");
    }
    return {};
}

failure file_log_store::load_snapshot(stored_state& loaded)
{
    std::string content;
    if (!read_file(path("snapshot"), content))
    {
        return {};
    }
    std::string_view body;
    if (!read_block(content, 0, body) || body.front() != snapshot_block)
    {
        return make_failure(error_kind::storage_corrupt, path("snapshot") + " is damaged");
    }
    std::optional<snapshot> decoded = decode_snapshot(body.substr(1));
    if (!decoded)
    {
        return make_failure(error_kind::storage_corrupt, path("snapshot") + " is malformed");
    }
    loaded.base = std::move(*decoded);
    return {};
}

failure file_log_store::load_log(stored_state& loaded)
{
    std::string content;
    std::string synced_text;
    read_file(path("log"), content);
    std::uint64_t synced_length = 0;
    if (read_file(path("synced"), synced_text))
    {
        std::istringstream(synced_text) >> synced_length;
    }
    std::size_t offset = 0;
    std::string_view body;
    while (offset < content.size() && read_block(content, offset, body))
    {
        if (failure failed = load_record(body, loaded))
        {
            return failed;
        }
        offset += sizeof(block_header) + body.size();
    }
    if (offset < synced_length)
    {
        return make_failure(error_kind::storage_corrupt,
                            path("log") + " is damaged at byte " + std::to_string(offset) +
                                ", although " + std::to_string(synced_length) +
                                " bytes were synced");
    }
    hard_state_ = loaded.hard;
    records_ = loaded.records;
    return open_log(offset);
}

failure file_log_store::load_record(std::string_view body, stored_state& loaded)
{
    const char kind = body.front();
    body.remove_prefix(1);
    if (kind == hard_state_block && body.size() == sizeof(std::uint64_t) * 2)
    {
        std::memcpy(&loaded.hard.term, body.data(), sizeof(std::uint64_t));
        std::memcpy(&loaded.hard.voted_for, body.data() + sizeof(std::uint64_t),
                    sizeof(std::uint64_t));
        return {};
    }
    std::optional<log_record> record =
        kind == log_record_block ? decode_record(body) : std::optional<log_record>();
    if (!record)
    {
        return make_failure(error_kind::storage_corrupt,
                            path("log") + " contains a malformed record");
    }
    while (!loaded.records.empty() && loaded.records.back().index >= record->index)
    {
        loaded.records.pop_back();
    }
    if (record->index <= loaded.base.index || record->term < loaded.base.term)
    {
        return {}; // The snapshot includes the record, or a later leader has discarded it.
    }
    const log_index last = loaded.records.empty() ? loaded.base.index : loaded.records.back().index;
    if (record->index != last + 1)
    {
        return make_failure(error_kind::storage_corrupt,
                            path("log") + " is missing record " + std::to_string(last + 1));
    }
    loaded.records.push_back(std::move(*record));
    return {};
}

failure file_log_store::open_log(std::uint64_t length)
{
    log_file_.reset(::open(path("log").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, file_mode));
    synced_file_.reset(::open(path("synced").c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, file_mode));
    if (!log_file_.is_open() || !synced_file_.is_open() ||
        ::ftruncate(log_file_.get(), static_cast<off_t>(length)) != 0 ||
        ::lseek(log_file_.get(), 0, SEEK_END) < 0)
    {
        return storage_failure("opening " + path("log"));
    }
    log_length_ = length;
    return sync();
}

failure file_log_store::write_block(char kind, std::string_view body)
{
    const std::string block = make_block(kind, body);
    log_length_ += block.size();
    return write_all(log_file_.get(), block, path("log"));
}

failure file_log_store::save_hard_state(const hard_state& hard)
{
    hard_state_ = hard;
    return write_block(hard_state_block, encode_hard_state(hard));
}

failure file_log_store::append(const std::vector<log_record>& records)
{
    for (const log_record& record : records)
    {
        while (!records_.empty() && records_.back().index >= record.index)
        {
            records_.pop_back();
        }
        records_.push_back(record);
        if (failure failed = write_block(log_record_block, encode_record(record)))
        {
            return failed;
        }
    }
    return {};
}

failure file_log_store::sync()
{
    if (::fdatasync(log_file_.get()) != 0)
    {
        return storage_failure("syncing " + path("log"));
    }
    // Fixed width, so that a shorter number overwrites every digit of a longer one.
    char text[24];
    const int size = std::snprintf(text, sizeof(text), "%020llu\n",
                                   static_cast<unsigned long long>(log_length_));
    if (::pwrite(synced_file_.get(), text, static_cast<std::size_t>(size), 0) != size)
    {
        return storage_failure("writing " + path("synced"));
    }
    return {};
}

failure file_log_store::save_snapshot(const snapshot& taken, bool keep_later)
{
    if (failure failed =
            replace_file("snapshot", make_block(snapshot_block, encode_snapshot(taken))))
    {
        return failed;
    }
    std::vector<log_record> kept;
    for (log_record& record : records_)
    {
        if (keep_later && record.index > taken.index)
        {
            kept.push_back(std::move(record));
        }
    }
    return rewrite_log(kept);
}

failure file_log_store::rewrite_log(const std::vector<log_record>& records)
{
    std::string content = make_block(hard_state_block, encode_hard_state(hard_state_));
    for (const log_record& record : records)
    {
        content += make_block(log_record_block, encode_record(record));
    }
    records_ = records;
    // Clears the synced length first: after a crash here, the old length compared with the new,
    // shorter log would be reported as damage.
    if (synced_file_.is_open() &&
        (::ftruncate(synced_file_.get(), 0) != 0 || ::fsync(synced_file_.get()) != 0))
    {
        return storage_failure("writing " + path("synced"));
    }
    if (failure failed = replace_file("log", content))
    {
        return failed;
    }
    return open_log(content.size());
}

failure file_log_store::replace_file(const std::string& name, const std::string& content)
{
    const std::string temporary_path = path(name + ".new");
    unique_fd file(
        ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
    if (!file.is_open())
    {
        return storage_failure("creating " + temporary_path);
    }
    if (failure failed = write_all(file.get(), content, temporary_path))
    {
        return failed;
    }
    unique_fd folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (::fsync(file.get()) != 0 || ::rename(temporary_path.c_str(), path(name).c_str()) != 0 ||
        !folder.is_open() || ::fsync(folder.get()) != 0)
    {
        return storage_failure("replacing " + path(name));
    }
    return {};
}

} // namespace carawayshelf

// HTTP/1.1 messages: what comes is taken apart strictly, and only as far as somebody needs it.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/protocol.h"
#include "net/socket.h"

namespace troutstage::net {

struct Header {
  std::string_view name, value;
  std::string_view line;  // as it came, with its end
};

enum class MessageKind { request, response };

// A message's head, as views of the bytes it was read from.
struct Head {
  std::string_view first[3];  // the three parts of its first line
  std::vector<Header> headers;

  std::size_t count(std::string_view name) const;
  std::string_view value(std::string_view name) const;  // of the first such header; empty where there is none
  bool has_list_token(std::string_view name, std::string_view token) const;  // in a list parted by commas
};
bool is_head_prefix(std::string_view bytes, std::size_t looked, MessageKind kind);
std::string_view path_of(std::string_view target);  // without query, and without scheme and authority
bool equals_ignoring_case(std::string_view a, std::string_view b);           // but for upper and lower case
std::optional<Head> parse_head(std::string_view bytes, MessageKind kind = MessageKind::request);  // nothing: malformed
std::optional<std::int64_t> parse_digits(std::string_view text);  // nothing but digits, and not too many
std::string_view trimmed(std::string_view text);

enum class ReadResult {
  whole,
  nothing,
  cut,
  late,
  malformed,
  too_large,
  stalled  // it had begun, and did not go on
};         // nothing: it closed before the first byte
inline constexpr std::array<std::string_view, 7> kReadResultNames = {"whole",     "nothing",   "cut",    "late",
                                                              "malformed", "too_large", "stalled"};

// Reads messages from one connection. The bytes of the next one stay in the buffer.
class Reader {
 public:
  // A message that has begun must go on within `stall`; 0: its limit alone counts.
  explicit Reader(int fd, std::chrono::milliseconds stall = {}) : fd_(fd), stall_limit_(stall) {}
  // Notes in `arrival` each look at the connection.
  Reader(int fd, core::ArrivalEstimate& arrival) : fd_(fd), stall_limit_(0), arrival_(&arrival) {}
  bool has_buffered_bytes() const { return buffered_bytes() > 0; }  // beyond the last message
  std::size_t buffered_bytes() const { return buffer_.size() - head_size_; }  // the same
  // For a message that is passed on as it comes: a pause in it is no sign that its rest never comes.
  void disable_stall_limit() { stall_limit_ = {}; }
  void release_buffer() { buffer_ = {}, head_size_ = 0; }                   // nothing is kept while nothing comes
  bool write_bytes(std::string_view bytes, TimePoint limit) { return write_all(fd_, bytes, limit) == IoResult::done; }
  ReadResult read_head(TimePoint limit, Head& head, MessageKind kind);  // the views hold until the next call
  ReadResult read_up_to(TimePoint limit, std::size_t most, std::string& into);  // appends what there is, a byte at the least
  ReadResult read_line(TimePoint limit, std::string& line);

 private:
  ReadResult fill_until(TimePoint limit, std::size_t need, bool begun = true);
  ReadResult fill_once(TimePoint limit, bool begun);
  void discard_head() { buffer_.erase(0, std::exchange(head_size_, 0)); }
  int fd_;
  std::chrono::milliseconds stall_limit_;
  core::ArrivalEstimate* arrival_ = nullptr;
  std::string buffer_;
  std::size_t head_size_ = 0;  // bytes of the buffer that the last head took
};

enum class Framing { none, length, chunked, to_end };
inline constexpr std::array<std::string_view, 4> kFramingNames = {"none", "length", "chunked", "to_end"};

// A message's body, taken in pieces as they come, however it is framed.
class Body {
 public:
  Body() = default;
  Body(Framing framing, std::size_t length, std::size_t most)
      : framing_(framing), remaining_(length), max_size_(most),
        is_whole_(framing == Framing::none || (framing == Framing::length && length == 0)) {}
  Framing framing() const { return framing_; }
  std::size_t left() const { return remaining_; }  // by its length, or of the chunk that is read
  bool whole() const { return is_whole_; }
  // Appends what there is; nothing where that was the end of it. After `late` it may be called again.
  ReadResult next(Reader& in, TimePoint limit, std::string& into);

 private:
  enum class ChunkState { size, end_of_data, trailers };  // what comes next where no byte of a chunk is left
  ReadResult next_chunk(Reader& in, TimePoint limit);
  ReadResult read_chunk_size(Reader& in, TimePoint limit);
  ReadResult read_trailers(Reader& in, TimePoint limit);
  Framing framing_ = Framing::none;
  std::size_t remaining_ = 0, max_size_ = 0, consumed_ = 0;
  std::size_t trailer_count_ = 0;
  ChunkState chunk_state_ = ChunkState::size;
  bool is_whole_ = true;
};

struct Request {
  std::string method, target;
  std::string forwarded_headers;  // header lines that go on as they came
  std::string body;
  std::string workload;  // the first part of the path
  std::string tenant, transaction;
  std::int64_t remaining_ms = -1;  // -1: not told
  double hint_micros = 0;
  bool has_idempotency_key = false, is_client_retry = false, keep_alive = true;
  bool expects_continue = false, is_http_1_0 = false;  // waits for 100; speaks HTTP/1.0
  Body remaining_body;                                       // what has not been read of its body
};
// What can be wrong with a request; none: its connection just closed.
enum class RequestError {
  none,
  cut,
  slow,
  malformed,
  too_large,
  two_lengths,
  no_length,
  wrong_field,
  wrong_method,
  no_workload,
  body_of_get,
  no_limit,
  no_label,
  id_open,
  ahead,
  no_room,
  reading_ended  // from here, before it had come whole
};
inline constexpr std::array<std::string_view, 17> kRequestErrorNames = {
    "none",      "cut",         "slow",         "malformed",   "too_large",   "two_lengths",
    "no_length", "wrong_field", "wrong_method", "no_workload", "body_of_get", "no_limit",
    "no_label",  "id_open",     "ahead",        "no_room",     "reading_ended"};
struct BadRequest {
  int status = 0;  // 0: there is nobody to tell
  RequestError cause = RequestError::none;
};
// A request's head, or what is wrong with it. Nothing is guessed: what could be read in two ways is refused.
std::optional<Request> read_request_head(Reader& in, TimePoint limit, BadRequest& bad);
// Goes on with its body until it is whole, or as much is kept as `room` gives for it: the rest then flows. False:
// it can't be read.
bool read_body(Reader& in, Request& request, BadRequest& bad, const std::function<TimePoint()>& limit,
               const std::function<bool(std::size_t)>& room);
// Whether the rest of its body is to follow, as framed by body_piece().
std::string format_request_head(const Request& request, std::int64_t remaining_ms);
std::string frame_body_piece(const Body& remaining_body, std::string_view piece);

struct Response {
  int status = 0;
  bool turned_away = false, keep_alive = true;
  std::string content_type, body;
};
ReadResult read_response_head(Reader& in, TimePoint limit, Response& response, Body& body, std::size_t most);
ReadResult read_response(Reader& in, TimePoint limit, Response& response, std::size_t most = kMaxShortAnswerBytes);  // all of it
std::string format_response_head(int status, std::string_view content_type, std::size_t size, bool keep_alive,
                          std::string_view more_headers = "");
std::string format_streamed_head(std::string_view content_type, bool chunked, bool keep_alive);  // of a 200

}  // namespace troutstage::net

// HTTP/1.1 messages: what comes is taken apart strictly, and only as far as somebody needs it.
#pragma once

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

// A message's head, as views of the bytes it was read from.
struct Head {
  std::string_view first[3];  // the three parts of its first line
  std::vector<Header> headers;

  std::size_t count(std::string_view name) const;
  std::string_view value(std::string_view name) const;  // of the first such header; empty where there is none
  bool lists(std::string_view name, std::string_view token) const;  // in a list parted by commas
};
bool same_word(std::string_view a, std::string_view b);           // but for upper and lower case
std::optional<Head> parse_head(std::string_view bytes);           // nothing: malformed
std::optional<std::int64_t> parse_digits(std::string_view text);  // nothing but digits, and not too many
std::string_view trimmed(std::string_view text);

enum class Got {
  whole,
  nothing,
  cut,
  late,
  malformed,
  too_large
};  // nothing: it closed before the first byte

// Reads messages from one connection. The bytes of the next one stay in the buffer.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  bool holds_bytes() const { return buffer_.size() > used_; }  // beyond the last message
  bool reply(std::string_view bytes, Moment limit) { return write_all(fd_, bytes, limit) == Io::done; }
  Got read_head(Moment limit, Head& head);  // the views hold until the next call
  Got read_body(Moment limit, std::size_t size, std::string& body);
  Got read_chunks(Moment limit, std::size_t most, std::string& body);
  Got read_to_end(Moment limit, std::size_t most, std::string& body);

 private:
  Got more(Moment limit, std::size_t need);
  Got read_line(Moment limit, std::string& line);
  int fd_;
  std::string buffer_;
  std::size_t used_ = 0;  // bytes of the buffer that the last head took
};

struct Request {
  std::string method, target;
  std::string kept;  // header lines that go on as they came
  std::string body;
  std::string workload;  // the first part of the path
  std::string tenant;
  std::int64_t remaining_ms = -1;  // -1: not told
  double hint_micros = 0;
  bool labelled = false, client_repeat = false, keep_alive = true;
};
struct BadRequest {
  int status = 0;  // 0: it just ends
  std::string_view why;
};
// A request, or what is wrong with it. Nothing is guessed: what could be read in two ways is refused.
std::optional<Request> read_request(Reader& in, Moment limit, BadRequest& bad);
std::string request_bytes(const Request& request, std::int64_t remaining_ms);

struct Response {
  int status = 0;
  bool turned_away = false, keep_alive = true;
  std::string content_type, body;
};
Got read_response(Reader& in, Moment limit, Response& response, std::size_t most = kMostBody);
std::string response_bytes(int status, std::string_view content_type, std::string_view body, bool keep_alive,
                           std::string_view more_headers = "");

}  // namespace troutstage::net

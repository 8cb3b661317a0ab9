#include "net/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "net/protocol.h"

namespace troutstage::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n", kBlankLine = "\r\n\r\n";
constexpr std::size_t kMaxTrailers = 64;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }
bool is_token(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') || kMarks.find(c) != kMarks.npos;
  });
}
bool is_text(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return (static_cast<unsigned char>(c) < 32 && c != '\t') || c == 127; });
}

// Headers that belong to this connection, or that the node writes itself.
bool is_forwarded(std::string_view name) {
  constexpr std::string_view kStay[] = {"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade",
                                        "TE",         "Trailer",    "Expect",           kRemainingMsHeader,
                                        "Transfer-Encoding"};
  return std::none_of(std::begin(kStay), std::end(kStay), [&](auto stay) { return equals_ignoring_case(name, stay); });
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 411: return "Length Required";
    case 413: return "Content Too Large";
    case 431: return "Request Header Fields Too Large";
    case 500: return "Internal Server Error";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    default: return "Unknown";
  }
}

// Takes the fields that decisions need; false: one of them can't be what a client means.
bool parse_fields(const Head& head, Request& r) {
  for (std::string_view name : {kRemainingMsHeader, kTenantHeader, kTransactionHeader, kIdempotencyKeyHeader, kEstimateHeader, kResentHeader, kHostHeader})
    if (head.count(name) > 1) return false;
  r.tenant = head.value(kTenantHeader);
  r.transaction = head.value(kTransactionHeader);
  if (r.transaction.empty()) return false;
  if (head.count(kRemainingMsHeader) > 0) {
    const auto remaining = parse_digits(head.value(kRemainingMsHeader));
    constexpr std::int64_t kDay = 24 * 3600 * 1000;
    if (!remaining || *remaining > kDay) return false;
    r.remaining_ms = *remaining;
  }
  if (const std::string_view hint = head.value(kEstimateHeader); !hint.empty()) {
    const auto [end, error] = std::from_chars(hint.data(), hint.data() + hint.size(), r.hint_micros);
    if (error != std::errc() || end != hint.data() + hint.size() ||
        !(r.hint_micros >= 0 && r.hint_micros < 1e12))
      return false;
  }
  r.has_idempotency_key = !head.value(kIdempotencyKeyHeader).empty();
  r.is_client_retry = head.value(kResentHeader) == "1";
  return true;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::string_view path_of(std::string_view target) {
  if (const std::size_t scheme = target.find("://"); scheme != target.npos && scheme < target.find('/')) {
    target.remove_prefix(scheme + 3);
    target.remove_prefix(std::min(target.size(), target.find('/')));
  }
  return target.substr(0, target.find_first_of("?#"));
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::int64_t> parse_digits(std::string_view text) {
  std::int64_t value = 0;
  if (text.empty() || text.size() > 15) return std::nullopt;
  for (char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    value = value * 10 + (c - '0');
  }
  return value;
}

std::size_t Head::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(),
                                                [&](const Header& h) { return equals_ignoring_case(h.name, name); }));
}
std::string_view Head::value(std::string_view name) const {
  for (const Header& h : headers)
    if (equals_ignoring_case(h.name, name)) return h.value;
  return {};
}
bool Head::has_list_token(std::string_view name, std::string_view token) const {
  for (const Header& h : headers) {
    if (!equals_ignoring_case(h.name, name)) continue;
    for (std::string_view remaining_body = h.value; !remaining_body.empty();) {
      const std::string_view one = remaining_body.substr(0, remaining_body.find(','));
      remaining_body.remove_prefix(std::min(remaining_body.size(), one.size() + 1));
      if (equals_ignoring_case(trimmed(one), token)) return true;
    }
  }
  return false;
}

std::optional<Head> parse_head(std::string_view bytes, MessageKind kind) {
  Head head;
  std::size_t end = bytes.find(kLineEnd);
  if (end == std::string_view::npos) return std::nullopt;
  std::string_view first = bytes.substr(0, end);
  if (!is_text(first)) return std::nullopt;
  for (int i = 0; i < 3; ++i) {
    const std::size_t blank = i < 2 ? first.find(' ') : std::string_view::npos;
    head.first[i] = first.substr(0, blank);
    first.remove_prefix(blank == std::string_view::npos ? first.size() : blank + 1);
  }
  for (std::size_t from = end + 2;;) {
    end = bytes.find(kLineEnd, from);
    if (end == std::string_view::npos) return std::nullopt;
    if (end == from) return head;
    const std::string_view line = bytes.substr(from, end - from);
    // An answer's folded field is none that this node reads.
    if (kind == MessageKind::response && !head.headers.empty() && (line[0] == ' ' || line[0] == '\t')) {
      from = end + 2;
      continue;
    }
    const std::size_t colon = line.find(':');
    // A folded line, a blank before the colon and a bare line end are read in different ways by different
    // programs; a request could be smuggled in them.
    const std::string_view name = line.substr(0, colon);
    // A load report that can't be read must not spoil the answer that brings it.
    if (colon == std::string_view::npos || !is_token(name) ||
        (!is_text(line.substr(colon)) && !equals_ignoring_case(name, kPressureHeader)))
      return std::nullopt;
    head.headers.push_back({name, trimmed(line.substr(colon + 1)), bytes.substr(from, end + 2 - from)});
    from = end + 2;
  }
}

// Whether what has come of a head can be its beginning. Noise often ends nowhere: looked at only when a whole
// head is there, it was found out at the time limit.
bool is_head_prefix(std::string_view bytes, std::size_t looked, MessageKind kind) {
  constexpr std::string_view kResponse = "HTTP/1.";
  constexpr std::size_t kLongestMethod = 16;
  if (kind == MessageKind::response && !bytes.starts_with(kResponse.substr(0, bytes.size()))) return false;
  const std::string_view method = bytes.substr(0, bytes.find(' '));
  if (kind == MessageKind::request && (method.size() > kLongestMethod || !is_token(method))) return false;
  for (std::size_t i = looked; i < bytes.size(); ++i) {
    if (bytes[i] == '\n' && (i == 0 || bytes[i - 1] != '\r')) return false;
    if (bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n') return false;
  }
  return true;
}

// One more piece. Where an answer's length doesn't fit, the rest never comes and the connection stays open.
ReadResult Reader::fill_once(TimePoint limit, bool begun) {
  const TimePoint patience =
      begun && stall_limit_.count() > 0 ? std::min(limit, TimePoint::clock::now() + stall_limit_) : limit;
  switch (read_some(fd_, buffer_, patience, arrival_)) {
    case IoResult::done: return ReadResult::whole;
    case IoResult::late: return patience < limit ? ReadResult::stalled : ReadResult::late;
    case IoResult::ended: return ReadResult::nothing;
    case IoResult::broken:
    case IoResult::resource_shortage: break;
  }
  return ReadResult::cut;
}

// Reads on until the buffer holds `need` bytes.
ReadResult Reader::fill_until(TimePoint limit, std::size_t need, bool begun) {
  while (buffer_.size() < need)
    if (const ReadResult got = fill_once(limit, begun || !buffer_.empty()); got != ReadResult::whole)
      return got != ReadResult::nothing && got != ReadResult::cut ? got : buffer_.empty() ? ReadResult::nothing : ReadResult::cut;
  return ReadResult::whole;
}

ReadResult Reader::read_head(TimePoint limit, Head& head, MessageKind kind) {
  buffer_.erase(0, std::exchange(head_size_, 0));
  std::size_t looked = 0;
  for (;;) {
    const std::size_t end = buffer_.find(kBlankLine, looked);
    if (end != std::string::npos) {
      head_size_ = end + kBlankLine.size();
      auto parsed = parse_head(std::string_view(buffer_).substr(0, head_size_), kind);
      if (!parsed) return ReadResult::malformed;
      head = std::move(*parsed);
      return ReadResult::whole;
    }
    if (!buffer_.empty() && !is_head_prefix(buffer_, looked, kind)) return ReadResult::malformed;
    if (buffer_.size() > kMaxHeadBytes) return ReadResult::too_large;
    looked = buffer_.size() < 3 ? 0 : buffer_.size() - 3;
    if (const ReadResult got = fill_until(limit, buffer_.size() + 1, false); got != ReadResult::whole) return got;
  }
}

ReadResult Reader::read_up_to(TimePoint limit, std::size_t most, std::string& into) {
  discard_head();
  if (buffer_.empty())
    if (const ReadResult got = fill_once(limit, true); got != ReadResult::whole) return got;
  const std::size_t n = std::min(most, buffer_.size());
  into.append(buffer_, 0, n);
  buffer_.erase(0, n);
  return ReadResult::whole;
}

ReadResult Reader::read_line(TimePoint limit, std::string& line) {
  discard_head();
  for (;;) {
    // What another program takes for a line's end may hide a request.
    const std::size_t end = buffer_.find('\n');
    if (end != std::string::npos) {
      if (end == 0 || buffer_[end - 1] != '\r') return ReadResult::malformed;
      line = buffer_.substr(0, end - 1);
      buffer_.erase(0, end + 1);
      return is_text(line) ? ReadResult::whole : ReadResult::malformed;
    }
    if (buffer_.size() > kMaxHeadBytes) return ReadResult::malformed;
    if (const ReadResult got = fill_until(limit, buffer_.size() + 1); got != ReadResult::whole)
      return got == ReadResult::nothing ? ReadResult::cut : got;
  }
}

// Before a chunk's bytes: the end of the one before, the next one's size; after the last one the trailers.
ReadResult Body::next_chunk(Reader& in, TimePoint limit) {
  if (chunk_state_ == ChunkState::end_of_data) {
    std::string line;
    if (const ReadResult got = in.read_line(limit, line); got != ReadResult::whole) return got;
    if (!line.empty()) return ReadResult::malformed;
    chunk_state_ = ChunkState::size;
  }
  if (chunk_state_ == ChunkState::size)
    if (const ReadResult got = read_chunk_size(in, limit); got != ReadResult::whole) return got;
  return chunk_state_ == ChunkState::trailers ? read_trailers(in, limit) : ReadResult::whole;
}

ReadResult Body::read_chunk_size(Reader& in, TimePoint limit) {
  std::string line;
  if (const ReadResult got = in.read_line(limit, line); got != ReadResult::whole) return got;
  const std::string_view digits = trimmed(std::string_view(line).substr(0, line.find(';')));
  std::size_t size = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) return ReadResult::malformed;
  if (size > max_size_ || consumed_ + size > max_size_) return ReadResult::too_large;
  remaining_ = size;
  chunk_state_ = size > 0 ? ChunkState::end_of_data : ChunkState::trailers;
  return ReadResult::whole;
}

ReadResult Body::read_trailers(Reader& in, TimePoint limit) {
  for (; trailer_count_ < kMaxTrailers; ++trailer_count_) {
    std::string line;
    if (const ReadResult got = in.read_line(limit, line); got != ReadResult::whole) return got;
    if (line.empty()) return is_whole_ = true, ReadResult::whole;
  }
  return ReadResult::malformed;
}

ReadResult Body::next(Reader& in, TimePoint limit, std::string& into) {
  if (is_whole_) return ReadResult::whole;
  ReadResult got = ReadResult::whole;
  if (framing_ == Framing::chunked && remaining_ == 0) {
    got = next_chunk(in, limit);
    if (got == ReadResult::nothing) got = ReadResult::cut;
    if (got != ReadResult::whole || is_whole_) return got;
  }
  const std::size_t before = into.size();
  got = in.read_up_to(limit, framing_ == Framing::to_end ? max_size_ + 1 : remaining_, into);
  if (got == ReadResult::nothing && framing_ == Framing::to_end) return is_whole_ = true, ReadResult::whole;
  if (got != ReadResult::whole) return got == ReadResult::nothing ? ReadResult::cut : got;
  consumed_ += into.size() - before;
  if (framing_ == Framing::to_end) return consumed_ > max_size_ ? ReadResult::too_large : ReadResult::whole;
  remaining_ -= into.size() - before;
  is_whole_ = framing_ == Framing::length && remaining_ == 0;
  return ReadResult::whole;
}

std::optional<Request> read_request_head(Reader& in, TimePoint limit, BadRequest& bad) {
  const auto refuse = [&](int status, RequestError cause) {
    bad = {status, cause};
    return std::nullopt;
  };
  Head head;
  switch (in.read_head(limit, head, MessageKind::request)) {
    case ReadResult::whole: break;
    case ReadResult::nothing: return refuse(0, RequestError::none);
    case ReadResult::cut: return refuse(0, RequestError::cut);
    case ReadResult::stalled:
    case ReadResult::late: return refuse(408, RequestError::slow);
    case ReadResult::malformed: return refuse(400, RequestError::malformed);
    case ReadResult::too_large: return refuse(431, RequestError::too_large);
  }
  Request r;
  r.method = head.first[0];
  r.target = head.first[1];
  const auto visible = [](char c) { return c > ' ' && c < 127; };
  if (!is_token(r.method) || (head.first[2] != "HTTP/1.1" && head.first[2] != "HTTP/1.0") ||
      !std::all_of(r.target.begin(), r.target.end(), visible))
    return refuse(400, RequestError::malformed);
  // What names its server whole is the same request, and goes on without that.
  if (const std::string_view path = path_of(r.target); !path.starts_with('/'))
    return refuse(400, RequestError::malformed);
  else
    r.target.erase(0, static_cast<std::size_t>(path.data() - r.target.data()));
  r.is_http_1_0 = head.first[2] == "HTTP/1.0";
  r.expects_continue = !r.is_http_1_0 && head.has_list_token("Expect", "100-continue");
  r.keep_alive = head.first[2] == "HTTP/1.1" && !head.has_list_token("Connection", "close");
  // Two lengths, or a length beside chunks, may be read differently behind this node: a second request could
  // hide in the difference.
  const std::size_t lengths = head.count("Content-Length");
  if (lengths > 1 || (lengths > 0 && head.count("Transfer-Encoding") > 0))
    return refuse(400, RequestError::two_lengths);
  const bool chunked = head.count("Transfer-Encoding") > 0;
  if (chunked && (head.count("Transfer-Encoding") > 1 || r.is_http_1_0 ||
                  !equals_ignoring_case(head.value("Transfer-Encoding"), "chunked")))
    return refuse(400, RequestError::wrong_field);
  if (r.method != "GET" && r.method != "POST") return refuse(405, RequestError::wrong_method);
  if (lengths == 0 && !chunked && r.method == "POST") return refuse(411, RequestError::no_length);
  if (chunked) r.remaining_body = Body(Framing::chunked, 0, kMaxBodyBytes);
  if (lengths > 0) {
    const auto told = parse_digits(head.value("Content-Length"));
    if (!told) return refuse(400, RequestError::wrong_field);
    if (*told > static_cast<std::int64_t>(kMaxBodyBytes)) return refuse(413, RequestError::too_large);
    r.remaining_body = Body(Framing::length, static_cast<std::size_t>(*told), kMaxBodyBytes);
  }
  const bool own = r.target == kReadyPath || r.target == kCountersPath;
  if (!own) {
    if (!parse_fields(head, r)) return refuse(400, RequestError::wrong_field);
    const std::string_view path = std::string_view(r.target).substr(1);
    r.workload = path.substr(0, path.find_first_of("/?#"));
    for (const Header& h : head.headers)
      if (is_forwarded(h.name)) r.forwarded_headers += h.line;
  }
  return r;
}

bool read_body(Reader& in, Request& r, BadRequest& bad, const std::function<TimePoint()>& limit,
               const std::function<bool(std::size_t)>& room) {
  const auto refuse = [&](int status, RequestError cause) { return bad = {status, cause}, false; };
  if (r.remaining_body.whole()) return true;
  const bool short_one = r.remaining_body.framing() == Framing::length && r.remaining_body.left() <= kMaxBufferedRequestBytes;
  constexpr std::size_t kStep = 16 * 1024;
  if (short_one && room(r.remaining_body.left())) r.body.reserve(r.remaining_body.left());
  else if (short_one || !room(kStep)) return refuse(503, RequestError::no_room);
  // The client may wait for a word before it sends the body.
  if (r.expects_continue && !in.has_buffered_bytes() && !in.write_bytes("HTTP/1.1 100 Continue\r\n\r\n", limit()))
    return refuse(0, RequestError::cut);
  for (std::size_t kept = kStep; !r.remaining_body.whole();) {
    switch (r.remaining_body.next(in, limit(), r.body)) {
      case ReadResult::whole: break;
      case ReadResult::stalled:
      case ReadResult::late: return refuse(408, RequestError::slow);
      case ReadResult::malformed: return refuse(400, RequestError::malformed);
      case ReadResult::too_large: return refuse(413, RequestError::too_large);
      default: return refuse(0, RequestError::cut);
    }
    if (short_one || r.remaining_body.whole()) continue;
    if (r.body.size() >= kMaxBufferedRequestBytes) return true;
    // A piece is shorter than a step.
    while (kept < r.body.size() + kStep / 2) {
      if (!room(kStep)) return true;
      kept += kStep;
    }
  }
  return true;
}

std::string format_request_head(const Request& r, std::int64_t remaining_ms) {
  // One that came in chunks and is here whole has a length.
  const std::string framing = r.remaining_body.framing() != Framing::chunked ? ""
                              : r.remaining_body.whole() ? fmt::format("Content-Length: {}\r\n", r.body.size())
                                               : "Transfer-Encoding: chunked\r\n";
  return fmt::format("{} {} HTTP/1.1\r\n{}{}{}: {}\r\n\r\n", r.method, r.target, r.forwarded_headers, framing, kRemainingMsHeader,
                     remaining_ms);
}

std::string frame_body_piece(const Body& remaining_body, std::string_view piece) {
  if (remaining_body.framing() != Framing::chunked) return std::string(piece);
  std::string out;
  if (!piece.empty()) out = fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
  if (remaining_body.whole()) out += "0\r\n\r\n";
  return out;
}

ReadResult read_response_head(Reader& in, TimePoint limit, Response& r, Body& body, std::size_t most) {
  Head head;
  for (int interim = 0;; ++interim) {
    const ReadResult got = in.read_head(limit, head, MessageKind::response);
    if (got != ReadResult::whole) return got;
    const auto status = parse_digits(head.first[1]);
    if (interim > kMaxInterimHeads || (head.first[0] != "HTTP/1.1" && head.first[0] != "HTTP/1.0") ||
        head.first[1].size() != 3 || !status || *status < 100)
      return ReadResult::malformed;
    r.status = static_cast<int>(*status);
    if (r.status == 101) return ReadResult::malformed;
    if (r.status >= 200) break;
  }
  r.turned_away = (r.status == 503 || r.status == 504) && head.value(kTurnedAwayHeader) == "1";
  r.keep_alive = head.first[0] == "HTTP/1.1" && !head.has_list_token("Connection", "close");
  r.content_type = head.value("Content-Type");
  body = Body();
  if (r.status == 204 || r.status == 304) return ReadResult::whole;
  const std::size_t lengths = head.count("Content-Length");
  if (head.count("Transfer-Encoding") > 0) {
    if (lengths > 0 || !head.has_list_token("Transfer-Encoding", "chunked")) return ReadResult::malformed;
    return body = Body(Framing::chunked, 0, most), ReadResult::whole;
  }
  if (lengths == 0) {
    r.keep_alive = false;
    return body = Body(Framing::to_end, 0, most), ReadResult::whole;
  }
  const auto length = parse_digits(head.value("Content-Length"));
  if (lengths > 1 || !length) return ReadResult::malformed;
  if (*length > static_cast<std::int64_t>(most)) return ReadResult::too_large;
  return body = Body(Framing::length, static_cast<std::size_t>(*length), most), ReadResult::whole;
}

ReadResult read_response(Reader& in, TimePoint limit, Response& r, std::size_t most) {
  Body body;
  if (const ReadResult got = read_response_head(in, limit, r, body, most); got != ReadResult::whole) return got;
  while (!body.whole())
    if (const ReadResult got = body.next(in, limit, r.body); got != ReadResult::whole) return got;
  return ReadResult::whole;
}

std::string format_response_head(int status, std::string_view content_type, std::size_t size, bool keep_alive,
                          std::string_view more_headers) {
  return fmt::format("HTTP/1.1 {} {}\r\n{}{}{}{}{}Content-Length: {}\r\n\r\n", status, reason_phrase(status),
                     content_type.empty() ? "" : "Content-Type: ", content_type,
                     content_type.empty() ? "" : kLineEnd, more_headers,
                     keep_alive ? "" : "Connection: close\r\n", size);
}

std::string format_streamed_head(std::string_view content_type, bool chunked, bool keep_alive) {
  return fmt::format("HTTP/1.1 200 OK\r\n{}{}{}{}{}\r\n", content_type.empty() ? "" : "Content-Type: ", content_type,
                     content_type.empty() ? "" : kLineEnd, keep_alive ? "" : "Connection: close\r\n",
                     chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

}  // namespace troutstage::net

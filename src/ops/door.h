// The operators' door: a listener of its own for the few calls by which a node is run. One thread serves all
// callers and waits for none of them, so that neither a storm of clients nor callers that hold a connection
// delay an answer.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/socket.h"
#include "net/threads.h"

namespace troutstage::ops {

// What can be asked of a node here. Nothing of it may wait for long.
class Operated {
 public:
  virtual ~Operated() = default;
  virtual bool ready() = 0;
  virtual bool drain() = 0;  // false: it can't any more
  virtual bool activate() = 0;
  virtual std::string metrics() = 0;
  virtual std::optional<std::string> members() { return std::nullopt; }  // nothing: nodes don't know of one another
};

struct Reply {
  int status = 200;
  std::string body;
  std::string_view more_headers;
};
Reply answer_call(Operated& node, std::string_view method, std::string_view target);

class Door {
 public:
  static constexpr std::size_t kPlaces = 16;
  static constexpr std::size_t kDescriptors = kPlaces + 3;  // with its listener, and what wakes it
  Door(const sockaddr_in& address, Operated& node);         // listens from here on; throws where it can't
  ~Door();
  int port() const { return net::port_of(listener_.get()); }

 private:
  struct Caller {
    net::Fd fd;
    net::TimePoint since;
    std::string in, out;
    std::size_t written = 0;
    bool answered = false;  // what still comes is thrown away until it closes
  };
  void run();
  void accept_some();
  bool serve(Caller& caller);  // false: it is over
  bool write(Caller& caller);
  bool make_room(bool also_unanswered);  // false: nobody is there who could go

  Operated& node_;
  net::Fd listener_, wake_;
  std::vector<Caller> callers_;  // the oldest first; the thread's own
  net::ThreadPool thread_{1};       // the last member: it uses the others
};

}  // namespace troutstage::ops

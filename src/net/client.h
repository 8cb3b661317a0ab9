// One client's connection: its requests, one after another, and their answers.
#pragma once

#include <vector>

#include "net/http.h"
#include "net/node.h"

namespace troutstage::net {

class Client {
 public:
  Client(Node& node, Fd fd, bool has_place);
  ~Client();
  void serve();  // until the connection is over

 private:
  struct Work;  // what the hand-offs of one invocation share

  bool request_comes(Moment limit);
  bool answer(const Request& request, Tenths arrived);
  bool invoke(Request request, Tenths arrived);
  bool end(const Work& work, const core::Step& step, bool keep);
  void recall(const Work& work, int number);
  void hand_off(const std::shared_ptr<Work>& work, const core::Step& step);
  bool write(const std::string& bytes);
  bool reply(int status, std::string_view text, bool keep_alive, std::string_view headers = "");

  Node& node_;
  Fd fd_;
  Reader in_;
  bool lasts_ = true;     // false: this request is the last one
  const bool has_place_;  // else its one request is turned away
  const std::uint64_t id_;
};

}  // namespace troutstage::net

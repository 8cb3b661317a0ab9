#include "wirehost/host.h"

#include <algorithm>
#include <exception>
#include <map>
#include <string>

#include "wire/wire.h"

namespace troutstage::wirehost {
namespace {

// One instance of the decisions with its own ids: nothing is shared between two of them.
struct Instance {
  NameIndices names;
  wire::Ids ids;
  Decider decider;
};

class Host {
 public:
  Host(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

  std::string where() const {
    return "batch " + std::to_string(batch_) + ", line " + std::to_string(line_number_);
  }

  bool play_batch() {
    line_number_ = 0;
    if (!next_line()) return false;
    wire::Fields tick = wire::split(line_);
    if (tick.size() != 3 || tick[0] != "TICK") throw Malformed("TICK with 2 fields expected");
    now_ = parse_integer(tick[1], "clock") / 100;
    batch_ = parse_integer(tick[2], "batch number");
    reply_.clear();
    while (need_line(), line_ != "END") event();
    reply_ += "ACK\t" + std::to_string(batch_) + "\n";
    out_ << reply_ << std::flush;
    return true;
  }

 private:
  bool next_line() {
    if (!std::getline(in_, line_)) return false;
    ++line_number_;
    return true;
  }
  void need_line() {
    if (!next_line()) throw Malformed("input ends inside a batch");
  }

  void event() {
    std::string held = line_;
    wire::Fields fields = wire::split(held);
    if (fields.size() < 2) throw Malformed("unknown message '" + held + "'");
    const std::string node(fields[1]);
    if (fields[0] == "CONFIGURE") {
      if (fields.size() < 3) throw Malformed("CONFIGURE lacks its seed");
      NameIndices names;
      Settings settings = wire::read_configure(fields, names);
      instances_.erase(node);
      guarded(node, [&] {
        Decider decider(settings, now_);
        instances_.try_emplace(node, Instance{std::move(names), {}, std::move(decider)});
      });
      return;
    }
    std::vector<std::string> rows;
    for (int left = wire::rows_below(fields); left > 0; --left) {
      need_line();
      rows.push_back(line_);
    }
    auto at = instances_.find(node);
    if (at == instances_.end()) throw Malformed("unknown instance '" + node + "'");
    if (fields[0] == "KILLED") {
      if (fields.size() != 2)
        throw Malformed("KILLED has " + std::to_string(fields.size() - 1) + " fields, not 1");
      instances_.erase(at);
      return;
    }
    Instance& instance = at->second;
    auto event = wire::read_event(fields, rows, instance.ids, instance.names);
    if (!event) return;
    guarded(node, [&] {
      for (const Action& action : instance.decider.decide(now_, *event)) {
        wire::write_action(reply_, node, action, instance.ids);
        instance.ids.forget(action);
      }
    });
  }

  // What the decisions throw is theirs, not the wire's: it is reported as PANIC for that instance.
  template <class Work>
  void guarded(const std::string& node, Work work) {
    try {
      work();
    } catch (const std::exception& broke) {
      std::string words = broke.what();
      std::replace_if(
          words.begin(), words.end(), [](char c) { return c == '\n' || c == '\t'; }, ' ');
      reply_ += "PANIC\t" + node + "\t" + words + "\n";
    }
  }

  std::istream& in_;
  std::ostream& out_;
  std::map<std::string, Instance> instances_;
  std::string line_, reply_;
  std::int64_t batch_ = 0, line_number_ = 0;
  TenthsOfMs now_ = 0;
};

}  // namespace

int run(std::istream& in, std::ostream& out, std::ostream& complaints) {
  Host host(in, out);
  try {
    while (host.play_batch()) {
    }
    return 0;
  } catch (const Malformed& broken) {
    complaints << "troutstage_wirehost: " << host.where() << ": " << broken.what() << std::endl;
    return 1;
  }
}

}  // namespace troutstage::wirehost

#include <catch2/catch.hpp>
#include <sstream>

#include "wirehost/host.h"

namespace {

const std::string kConfigure =
    "CONFIGURE\tnode/"
    "1\t42\tzone=east\tzones=east,west\tinstances=2\tbounds.max-hand-offs=3\tdiscovery=on_request\t"
    "bounds.cancel=true\tbounds.probes=false\tbounds.second-copies=true\tbounds.retry-after=false\t"
    "bounds.max-retry-after=0\ttick=5000\tbounds.connect-timeout=250000\trules.drain-grace=500000\t"
    "rules.ask-within=10000000\trules.fall=1000000\trules.warm-within=20000000\trules.fall-multiple=3.0\t"
    "rules.cold-from=0.12\ta-setting-nobody-knows=7\tworkloads.count=1\tworkloads.0.name=view\t"
    "workloads.0.semantics=repeatable\tworkloads.0.due-time=600000\tworkloads.0.time-limit=1500000\t"
    "workloads.0.billing-value=3.0\n";
const std::string kList =
    "MEMBERSHIP\tnode/1\tcached\t41\t1\nROW\tstd\t10.0.0.1:80\t-\tRunning\t0\t1.5\teast\n";
const std::string kStart = "TICK\t8000000\t1\n" + kConfigure + kList + "END\n";
const std::string kInvoke = "INCOMING\tnode/1\tc:a\tview\t-\t-\t9000000\t-\t0\n";

struct Played {
  int code;
  std::string out, complaint;
};
Played play(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out, complaints;
  const int code = troutstage::wirehost::run(in, out, complaints);
  return {code, out.str(), complaints.str()};
}

}  // namespace

TEST_CASE("an exchange recorded by hand", "[wire]") {
  const Played p = play("TICK\t7000000\t0\nEND\n" + kStart + "TICK\t8005000\t2\n" + kInvoke +
                        "END\nTICK\t8030000\t3\n"
                        "RETURNED\tnode/1\tc:a\t10.0.0.1:80\t1\tOK\t0\t18500\tutilization:0.62,other:1\n"
                        "GONE\tnode/1\tc:a\nEND\nTICK\t8040000\t4\nKILLED\tnode/1\n" +
                        kConfigure + kList + "END\n");
  CHECK(p.code == 0);
  CHECK(p.complaint == "");
  CHECK(p.out.substr(0, 6) == "ACK\t0\n");
  CHECK(p.out.find("TAIL\tnode/1\t1\n") != std::string::npos);
  CHECK(p.out.find("PLACE\tnode/1\tc:a\t10.0.0.1:80\t") != std::string::npos);
  CHECK(p.out.find("PANIC") == std::string::npos);
  CHECK(p.out.substr(p.out.size() - 6) == "ACK\t4\n");
}

TEST_CASE("malformed input is named with its batch and line, and ends the process", "[wire]") {
  const auto [input, complaint] = GENERATE(table<std::string, std::string>({
      {"TOCK\t1\t1\n", "batch 0, line 1: TICK with 2 fields expected"},
      {"TICK\t1\t1\n", "batch 1, line 1: input ends inside a batch"},
      {kStart + "TICK\t8005000\t2\nHELLO\tnode/1\n", "batch 2, line 2: unknown message 'HELLO'"},
      {kStart + "TICK\t8005000\t2\nGONE\tnode/9\tc:a\n", "batch 2, line 2: unknown instance 'node/9'"},
      {kStart + "TICK\t8005000\t2\nGONE\tnode/1\n", "batch 2, line 2: GONE has 1 fields, not 2"},
      {kStart + "TICK\t8005000\t2\n" + kInvoke + kInvoke, "batch 2, line 3: handle 'c:a' is held already"},
      {kStart + "TICK\t8005000\t2\nINCOMING\tnode/1\tc:a\tnone\t-\t-\t9000000\t-\t0\n",
       "batch 2, line 2: unknown service 'none'"},
      {kStart + "TICK\t8005000\t2\nRETURNED\tnode/1\tc:a\tx\t1\tMAYBE\t0\t1\t-\n",
       "batch 2, line 2: unknown result 'MAYBE'"},
      {"TICK\t1\t1\nCONFIGURE\tnode/1\t42\tzone=east\n", "batch 1, line 2: setting instances is missing"},
  }));
  const Played p = play(input);
  CHECK(p.code == 1);
  CHECK(p.complaint == "troutstage_wirehost: " + complaint + "\n");
}

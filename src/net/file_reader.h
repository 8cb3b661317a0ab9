// Reads files for a node without holding up its other work: a file may take for ever to open or to read.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace troutstage::net {

struct FileReadResult {
  std::string path;
  std::string text;
  std::string error;  // why there is no text; empty: it was read whole
};

class FileReader {
 public:
  // Begins to read the file anew, in a thread of its own, and returns at once. A read that stands still is left alone;
  // where too many do, or no thread is to be had, that is the outcome of this one.
  void start_read(const std::string& path);
  // Blocks until the newest read that has ended is newer than the last one given out; nothing once stop() was called.
  std::optional<FileReadResult> next();
  // Ends next(). Reads under way are left behind.
  void stop();

 private:
  // Shared with the reads, which may outlive this.
  struct SharedState {
    std::mutex lock;
    std::condition_variable changed;
    bool stopped = false;
    int reads_in_progress = 0;
    std::uint64_t last_requested = 0, last_finished = 0, last_returned = 0;  // numbers of reads, from 1 on
    FileReadResult result;                                    // of the newest that has ended
  };
  static void read(const std::shared_ptr<SharedState>& state, std::uint64_t number, FileReadResult result);
  static void complete(SharedState& state, std::uint64_t number, FileReadResult result);
  const std::shared_ptr<SharedState> state_ = std::make_shared<SharedState>();
};

}  // namespace troutstage::net

// Reads files in the background, because opening or reading a file may hang without end.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace troutstage::net {

// The text of a file, or the reason why the file could not be read.
struct FileReadResult {
  std::string path;
  std::string text;
  std::string error;  // why there is no text; empty if the file was read whole
};

// Thread-safe, but only one thread may call wait_for_result(). An older read that ends after a newer one is
// dropped.
class FileReader {
 public:
  // Starts a read of the file in a thread of its own and returns at once. A read that hangs is left running.
  // If 8 reads are in progress already, or no thread can be created, this read ends with an error at once.
  void start_read(const std::string& path);
  // Blocks until a read has ended that is newer than the last returned one, and returns the newest result.
  // Returns nothing after stop().
  std::optional<FileReadResult> wait_for_result();
  // Makes wait_for_result() return nothing. Reads in progress are left running.
  void stop();

 private:
  // Shared with the reading threads, which may outlive the FileReader.
  struct SharedState {
    std::mutex lock;
    std::condition_variable changed;
    bool stopped = false;
    int reads_in_progress = 0;
    std::uint64_t last_requested = 0, last_finished = 0, last_returned = 0;  // read numbers, from 1
    FileReadResult result;                                                   // of the read last_finished
  };
  static void read(const std::shared_ptr<SharedState>& state, std::uint64_t number, FileReadResult result);
  static void complete(SharedState& state, std::uint64_t number, FileReadResult result);
  const std::shared_ptr<SharedState> state_ = std::make_shared<SharedState>();
};

}  // namespace troutstage::net

/// \file
/// The system and its surroundings as processes on one machine.
#ifndef CUMINSWITCH_TEST_SOAK_DEPLOYMENT_H_
#define CUMINSWITCH_TEST_SOAK_DEPLOYMENT_H_

#include <deque>
#include <fstream>
#include <functional>
#include <istream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/json_call.h"
#include "soak/fault_proxy.h"
#include "soak/process_table.h"
#include "soak/promise_ledger.h"

namespace cuminswitch::soak {

/// One daemon: where it serves, and since when nothing disturbs it.
struct daemon_state {
  std::string name;
  endpoint front;
  endpoint ready;
  std::unique_ptr<fault_proxy> store;
  std::string settings;
  std::vector<std::string> command;
  wall_time disturbed_at{};
  /// It was told to end, or killed, and has not been started again.
  bool is_ending = false;
  /// Pauses that last.
  int pauses = 0;
  /// Of its process.
  int start = 0;
  /// When its way to the store was last harmed, or mended.
  wall_time cut_at{};
};

/// How the store learns that an upstream departs.
enum class departure : uint8_t {
  /// Its entry says so, and stays.
  kDraining,
  /// Its entry is removed.
  kRemoved,
  /// The same, by the store itself, whatever the fault of its calls.
  kLapsed,
};

/// One upstream: its present process, and what the store lists of it.
struct upstream_state {
  std::string name;
  bool is_engine = false;
  /// Of its process; the identity is the name and this.
  int start = 0;
  std::string id;
  std::unique_ptr<fault_proxy> link;
  /// Its own address, past the link.
  endpoint address;
  std::string log;
  std::ifstream lines;
  int version = 1;
  bool is_listed = false;
  bool is_draining = false;
  bool is_paused = false;
  /// It departs for good, and serves on.
  bool is_departing = false;
  /// When it is started again after it ended by itself.
  std::optional<wall_time> restart_at;
  uint64_t beats = 0;
};

/// Starts everything, writes to the store as operators and upstreams would, and
/// hands what upstreams print to the ledger.
class deployment {
 public:
  struct options {
    std::string build_folder;
    std::string work_folder;
    int daemons = 4;
    int engines = 3;
    int services = 2;
  };

  deployment(event_base* base, options opts, promise_ledger& ledger);

  void StartDaemon(size_t index);
  void StartUpstream(size_t index);
  /// Removes the entry of an upstream that is gone.
  void Unlist(size_t index);
  /// An upstream departs, and serves on until it is ended.
  void Depart(size_t index, departure how);
  /// Writes all entries that are due, reads logs, collects ended processes and
  /// starts ended daemons again.
  void Tick();
  void PutConfiguration(bool has_second_credential);
  void NameWeights(int version);
  void SetStoreFault(const std::string& mode);
  /// Something else happens to the store; it is calm some time after.
  void DisturbStore() { store_disturbed_at_ = wall_time::clock::now(); }
  void HarmStoreLink(size_t index, link_fault fault);
  /// Makes an upstream behave otherwise; \p what is a path of its controls.
  void Control(size_t index, const std::string& what);
  /// Sends a daemon a signal that ends it.
  void EndDaemon(size_t index, int signal);
  void PauseDaemon(size_t index);
  void ResumeDaemon(size_t index);
  bool IsSound(const endpoint& front, wall_time since) const;
  /// Since when nothing has disturbed a daemon that is sound.
  wall_time CalmSince(const endpoint& front) const;
  /// Whether at \p at a daemon and the store had been undisturbed for a while,
  /// and nothing was between them.
  bool IsInTouch(const endpoint& front, wall_time at) const;
  int weights() const { return weights_; }

  std::vector<daemon_state> daemons;
  std::vector<upstream_state> upstreams;
  process_table processes;

 private:
  /// A write to the store, and what to do once it is acknowledged.
  struct pending_write {
    std::string key;
    std::string body;
    std::function<void()> on_done;
  };

  void Put(const std::string& key,
           const std::string& value,
           std::function<void()> on_done = {});
  void Remove(const std::string& key, std::function<void()> on_done = {});
  void Write(pending_write write);
  void SendNextWrite();
  void OnWritten(const platform::json_answer& answer);
  /// \p mode may name one address of the store's, too.
  void PostFault(const std::string& mode);
  void List(upstream_state& item, std::function<void()> on_done = {});
  void ReadLog(upstream_state& item);
  /// Reads that a request came while the upstream names a limit, is at rest,
  /// leaves or has departed, as \p what says.
  void ReadNoticed(const upstream_state& item,
                   const std::string& what,
                   std::istream& words);
  /// Starts the upstream again some time after it ended by itself.
  void RestartCrashed(size_t index);
  const daemon_state& DaemonAt(const endpoint& front) const;
  /// Waits for the line of \p log that begins with \p mark, and reads the
  /// address there.
  static endpoint AwaitListening(const std::string& log, std::string_view mark);

  event_base* base_;
  options options_;
  promise_ledger& ledger_;
  platform::json_caller caller_;
  endpoint store_;
  /// Of the store too; calls there never fail.
  endpoint sound_store_;
  wall_time store_disturbed_at_{};
  bool is_store_faulty_ = false;
  std::deque<pending_write> writes_;
  bool is_writing_ = false;
  uint64_t configuration_ = 0;
  int weights_ = 1;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_DEPLOYMENT_H_

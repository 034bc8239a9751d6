// Control-plane cost per daemon as the fleet grows: many decision cores in one
// process under a virtual clock, whose peer messages are encoded and counted.
#include <ctime>
#include <iostream>

#include "Scenario/world.h"
#include "cuminswitch/Control/configuration_store.h"
#include "cuminswitch/Wire/peer_codec.h"

namespace cuminswitch {
namespace {

constexpr int kWarmUpSeconds = 20;
constexpr int kMeasuredSeconds = 20;

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void Measure(size_t hosts) {
  world::options opts{.shard_count = 16, .hosts = hosts};
  opts.failure_domains.clear();
  for (int i = 0; i < 11; ++i) {
    opts.failure_domains.push_back("d" + std::to_string(i));
  }
  world fleet(opts);
  fleet.AddUpstream({.name = "reader",
                     .address = {"10.0.1.1", 1},
                     .failure_domain = "d0",
                     .serves = {"reader"}});
  configuration_store store(fleet.platform());
  store.Submit(fleet.MakeConfiguration(), 0, "first");
  for (const std::string& host : fleet.HostNames()) {
    fleet.Start(host);
  }
  const uint64_t start_calls = fleet.platform_calls();
  fleet.RunFor(std::chrono::seconds(kWarmUpSeconds));
  const uint64_t calls_before = fleet.platform_calls();

  uint64_t bytes = 0;
  uint64_t messages = 0;
  double encoding = 0;
  fleet.SetPeerObserver([&](const peer_message& message) {
    const double begin = CpuSeconds();
    bytes += kFrameHeaderSize + EncodePeerMessage(message, "credential").size();
    encoding += CpuSeconds() - begin;
    ++messages;
  });
  const double cpu_before = CpuSeconds();
  fleet.RunFor(std::chrono::seconds(kMeasuredSeconds));
  const double cpu = CpuSeconds() - cpu_before;
  const uint64_t calls = fleet.platform_calls() - calls_before;

  store.Submit(fleet.MakeConfiguration(), 1, "second");
  const time_point submitted = fleet.now();
  const auto all_applied = [&] {
    for (const std::string& host : fleet.HostNames()) {
      if (fleet.StatusOf(host).generation != 2) {
        return false;
      }
    }
    return true;
  };
  while (!all_applied()) {
    fleet.RunFor(std::chrono::milliseconds(50));
  }
  const double convergence = ToSeconds(fleet.now() - submitted);
  const double host_seconds =
      static_cast<double>(hosts) * static_cast<double>(kMeasuredSeconds);
  std::cout << "hosts=" << hosts
            << " sent_bytes_per_s=" << static_cast<double>(bytes) / host_seconds
            << " sent_messages_per_s="
            << static_cast<double>(messages) / host_seconds
            << " core_cpu_share=" << (cpu - encoding) / host_seconds
            << " platform_calls_per_s="
            << static_cast<double>(calls) / kMeasuredSeconds
            << " platform_calls_to_start=" << calls_before - start_calls
            << " configuration_in_force_s=" << convergence << std::endl;
}

}  // namespace
}  // namespace cuminswitch

int main() {
  for (const size_t hosts : {8, 32, 128, 360}) {
    cuminswitch::Measure(hosts);
  }
  return 0;
}

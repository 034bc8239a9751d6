// Baseline policies that the `prefix_cost` policy is compared with.
#include "cuminswitch/Routing/placement_policy.h"

#include <algorithm>
#include <random>
#include <span>
#include <vector>

#include "cuminswitch/Routing/placement_query.h"
#include "cuminswitch/Routing/prefix_cost_policy.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {
namespace {

/// Base class of the baselines: picks one of the replicas with a free slot, or
/// waits for the first eligible replica when there is none.
class baseline_policy : public placement_policy {
 public:
  placement Choose(const placement_query& query) override {
    with_free_slot_.clear();
    for (size_t i = 0; i < query.eligible.size(); ++i) {
      if (query.has_free_slot[i]) {
        with_free_slot_.push_back(query.eligible[i]);
      }
    }
    if (with_free_slot_.empty()) {
      return {.index = query.eligible.front(), .must_wait = true};
    }
    return {.index = Pick(query, with_free_slot_)};
  }

 protected:
  virtual replica_index Pick(const placement_query& query,
                             std::span<const replica_index> with_free_slot) = 0;

 private:
  std::vector<replica_index> with_free_slot_;
};

class random_policy : public baseline_policy {
 public:
  explicit random_policy(uint64_t seed) : random_(seed) {}

 protected:
  replica_index Pick(const placement_query& /*query*/,
                     std::span<const replica_index> with_free_slot) override {
    return with_free_slot[random_() % with_free_slot.size()];
  }

 private:
  std::mt19937_64 random_;
};

class round_robin_policy : public baseline_policy {
 protected:
  replica_index Pick(const placement_query& /*query*/,
                     std::span<const replica_index> with_free_slot) override {
    return with_free_slot[next_++ % with_free_slot.size()];
  }

 private:
  size_t next_ = 0;
};

class least_in_flight_policy : public baseline_policy {
 public:
  explicit least_in_flight_policy(uint64_t seed) : random_(seed) {}

 protected:
  replica_index Pick(const placement_query& query,
                     std::span<const replica_index> with_free_slot) override {
    const size_t start = random_() % with_free_slot.size();
    replica_index best = with_free_slot[start];
    for (size_t i = 1; i < with_free_slot.size(); ++i) {
      const replica_index index =
          with_free_slot[(start + i) % with_free_slot.size()];
      if (Load(query, index) < Load(query, best)) {
        best = index;
      }
    }
    return best;
  }

 private:
  static uint32_t Load(const placement_query& query, replica_index index) {
    const replica& item = query.replicas[index];
    return item.in_flight + item.others_in_flight;
  }

  std::mt19937_64 random_;
};

/// Rendezvous hashing on the shared prefix, regardless of load.
class prefix_hash_policy : public baseline_policy {
 protected:
  replica_index Pick(const placement_query& query,
                     std::span<const replica_index> with_free_slot) override {
    const size_t count = query.levels.size();
    const uint64_t key =
        count == 0 ? 0 : query.levels[count >= 2 ? count - 2 : 0].hash;
    const auto weight = [&](replica_index index) {
      return RendezvousWeight(key, query.replicas[index].name_hash);
    };
    return *std::max_element(with_free_slot.begin(), with_free_slot.end(),
                             [&](replica_index a, replica_index b) {
                               return weight(a) < weight(b);
                             });
  }
};

}  // namespace

std::unique_ptr<placement_policy> MakePlacementPolicy(std::string_view name,
                                                      uint64_t random_seed) {
  if (name == "prefix_cost") {
    return std::make_unique<prefix_cost_policy>();
  }
  if (name == "random") {
    return std::make_unique<random_policy>(random_seed);
  }
  if (name == "round_robin") {
    return std::make_unique<round_robin_policy>();
  }
  if (name == "least_in_flight") {
    return std::make_unique<least_in_flight_policy>(random_seed);
  }
  if (name == "prefix_hash") {
    return std::make_unique<prefix_hash_policy>();
  }
  return nullptr;
}

}  // namespace cuminswitch

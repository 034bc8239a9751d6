#include "Scenario/script.h"

#include <algorithm>
#include <optional>
#include <set>
#include <sstream>

#include "cuminswitch/Control/configuration_store.h"

namespace cuminswitch {

static constexpr duration kConditionInterval = std::chrono::milliseconds(10);
static constexpr duration kFinalSettleTime = std::chrono::seconds(30);

static std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

static duration Millis(const std::string& text) {
  return std::chrono::milliseconds(std::stoll(text));
}

/// Returns the word after \p name, if the line has both.
static std::optional<std::string> Option(const std::vector<std::string>& line,
                                         const std::string& name) {
  const auto found = std::find(line.begin(), line.end(), name);
  if (found == line.end() || found + 1 == line.end()) {
    return std::nullopt;
  }
  return *(found + 1);
}

world& script::GetWorld() {
  if (world_ == nullptr) {
    throw script_error("a `world` line must come first");
  }
  return *world_;
}

void script::MakeWorld(const words& line) {
  world::options opts;
  opts.hosts = std::stoul(Option(line, "hosts").value_or("3"));
  opts.shard_count = static_cast<shard_number>(
      std::stoul(Option(line, "shards").value_or("4")));
  opts.seed = std::stoull(Option(line, "seed").value_or("1"));
  opts.key_retention = std::chrono::seconds(
      std::stoll(Option(line, "retention").value_or("600")));
  world_ = std::make_unique<world>(opts);
}

void script::AddUpstream(const words& line) {
  const bool engine = line[0] == "engine";
  GetWorld().AddUpstream(
      {.name = line.at(1),
       .kind = engine ? upstream_kind::kEngine : upstream_kind::kService,
       .address = {.address = "10.0.1.1", .port = 1},
       .failure_domain = Option(line, "in").value_or("a"),
       .serves = {Option(line, "serves").value()},
       .max_in_flight = 64});
}

void script::Submit(const words& line) {
  world& w = GetWorld();
  configuration_store store(w.platform());
  const generation_number base =
      std::stoull(Option(line, "base").value_or(std::to_string(submissions_)));
  const std::string id =
      Option(line, "as").value_or("submission-" + std::to_string(base));
  const submission_result result =
      store.Submit(w.MakeConfiguration(), base, id);
  if (result.status == submission_status::kAccepted) {
    submissions_ = std::max<size_t>(submissions_, result.generation);
    return;
  }
  if (std::find(line.begin(), line.end(), "conflicts") == line.end()) {
    throw script_error("the submission was not accepted");
  }
}

void script::ForHosts(const words& line,
                      void (world::*action)(const std::string&)) {
  if (line.at(1) != "all") {
    (GetWorld().*action)(line[1]);
    return;
  }
  for (const std::string& host : GetWorld().HostNames()) {
    (GetWorld().*action)(host);
  }
}

void script::SetPlatform(const words& line) {
  world& w = GetWorld();
  const std::string& what = line.at(1);
  if (what == "down" || what == "up") {
    w.SetOutage(what == "down");
  } else if (what == "slow") {
    w.SetPlatformDelay(Millis(line.at(2)));
  } else if (what == "lose") {
    w.LoseReplies(std::stoi(line.at(2)));
  } else if (what == "lose-operator") {
    w.platform().LoseOperatorReplies(std::stoi(line.at(2)));
  } else {
    throw script_error("unknown platform command " + what);
  }
}

void script::SetUpstream(const words& line) {
  world_upstream& item = GetWorld().Upstream(line.at(1));
  const std::string& what = line.at(2);
  if (what == "serve") {
    item.mode = upstream_mode::kServing;
  } else if (what == "down") {
    item.mode = upstream_mode::kDown;
  } else if (what == "break") {
    item.mode = upstream_mode::kBreaking;
  } else if (what == "busy") {
    item.mode = upstream_mode::kBusy;
  } else if (what == "leave") {
    item.leaving = true;
    item.leaving_since = GetWorld().now();
  } else if (what == "crash") {
    ++item.incarnation;
    item.in_flight = 0;
  } else if (what == "takes") {
    item.service_time = Millis(line.at(3));
  } else if (what == "loads") {
    item.version = line.at(3);
  } else {
    throw script_error("unknown upstream command " + what);
  }
}

void script::Send(const words& line) {
  GetWorld().Send(
      {.name = line.at(1),
       .host = Option(line, "to").value(),
       .target = Option(line, "for").value(),
       .key = Option(line, "key").value_or(""),
       .body = Option(line, "body").value_or("order"),
       .time_limit = Millis(Option(line, "within").value_or("10000")),
       .key_age_seconds = std::stoull(Option(line, "age").value_or("0")),
       .first = line.back() == "first"});
}

bool script::RequestHolds(const words& condition) {
  const world_request& item = GetWorld().Request(condition.at(0));
  const std::string& what = condition.at(1);
  if (what == "answered" || what == "not_run" || what == "unknown") {
    return item.ended && ToString(item.result) == what;
  }
  if (what == "ended") {
    return item.ended;
  }
  if (what == "runs") {
    return item.runs == std::stoull(condition.at(2));
  }
  if (what == "faster-than") {
    return item.ended && item.ended_at - item.sent < Millis(condition.at(2));
  }
  if (what == "retry-after") {
    return item.retry_after > 0;
  }
  if (what == "answer") {
    return item.response == Join({condition.begin() + 2, condition.end()});
  }
  throw script_error("unknown condition " + what);
}

bool script::Holds(const words& condition) {
  world& w = GetWorld();
  const std::string& what = condition.at(0);
  if (what == "key") {
    return w.RunsOfKey(condition.at(1)) == std::stoull(condition.at(3));
  }
  if (what == "generation") {
    return w.StatusOf(condition.at(1)).generation ==
           std::stoull(condition.at(2));
  }
  if (what == "members") {
    const std::vector<member> members = w.StatusOf(condition.at(1)).members;
    const auto serving = [](const member& m) { return m.IsServing(); };
    return static_cast<size_t>(
               std::count_if(members.begin(), members.end(), serving)) ==
           std::stoull(condition.at(2));
  }
  if (what == "owners") {
    std::multiset<shard_number> owned;
    for (const std::string& host : w.HostNames()) {
      if (w.IsRunning(host) && !w.IsFrozen(host)) {
        const auto shards = w.StatusOf(host).shards;
        owned.insert(shards.begin(), shards.end());
      }
    }
    return owned.size() == std::stoull(condition.at(1)) &&
           std::set<shard_number>(owned.begin(), owned.end()).size() ==
               owned.size();
  }
  if (what == "false-deaths") {
    return w.false_deaths() == std::stoull(condition.at(1));
  }
  if (what == "platform-calls") {
    return w.platform_calls() < std::stoull(condition.at(2));
  }
  if (condition.at(1) == "stopped") {
    return !w.IsRunning(what);
  }
  return RequestHolds(condition);
}

void script::Bind(const words& line) {
  const bool owner = line.at(2) == "owner";
  for (const std::string& host : GetWorld().HostNames()) {
    const std::vector<shard_number> shards = GetWorld().StatusOf(host).shards;
    const bool owns =
        std::find(shards.begin(), shards.end(), 0) != shards.end();
    if (GetWorld().IsRunning(host) && owns == owner) {
      bound_[line[1]] = host;
      return;
    }
  }
  throw script_error("no running host is the " + line[2]);
}

void script::Substitute(words& line) const {
  for (std::string& word : line) {
    if (word.starts_with('$')) {
      word = bound_.at(word.substr(1));
    }
  }
}

void script::Wait(const words& line) {
  const time_point deadline = GetWorld().now() + Millis(line.at(1));
  const words condition(line.begin() + 3, line.end());
  while (!Holds(condition)) {
    if (GetWorld().now() >= deadline) {
      throw script_error("time-out of wait until " + Join(condition));
    }
    GetWorld().RunFor(kConditionInterval);
  }
}

void script::Expect(const words& line) {
  const bool negated = line.at(1) == "not";
  const words condition(line.begin() + (negated ? 2 : 1), line.end());
  if (Holds(condition) == negated) {
    throw script_error("expected " + std::string(negated ? "not " : "") +
                       Join(condition));
  }
}

void script::RunLine(const std::string& line, size_t number) {
  std::istringstream stream(line.substr(0, line.find('#')));
  words items;
  for (std::string word; stream >> word;) {
    items.push_back(word);
  }
  if (items.empty()) {
    return;
  }
  const std::string& command = items[0];
  try {
    Substitute(items);
    if (command == "world") {
      MakeWorld(items);
    } else if (command == "engine" || command == "service") {
      AddUpstream(items);
    } else if (command == "submit") {
      Submit(items);
    } else if (command == "version") {
      GetWorld().SetModelVersion(items.at(1));
    } else if (command == "start") {
      ForHosts(items, &world::Start);
    } else if (command == "kill") {
      ForHosts(items, &world::Kill);
    } else if (command == "freeze") {
      ForHosts(items, &world::Freeze);
    } else if (command == "thaw") {
      ForHosts(items, &world::Thaw);
    } else if (command == "stop") {
      ForHosts(items, &world::StopGracefully);
    } else if (command == "cut") {
      GetWorld().Cut(items.at(1), items.at(2));
    } else if (command == "heal") {
      GetWorld().Heal(items.at(1), items.at(2));
    } else if (command == "platform") {
      SetPlatform(items);
    } else if (command == "upstream") {
      SetUpstream(items);
    } else if (command == "send") {
      Send(items);
    } else if (command == "let") {
      Bind(items);
    } else if (command == "run") {
      GetWorld().RunFor(Millis(items.at(1)));
    } else if (command == "wait") {
      Wait(items);
    } else if (command == "expect") {
      Expect(items);
    } else {
      throw script_error("unknown command " + command);
    }
  } catch (const std::exception& error) {
    throw script_error("line " + std::to_string(number) + ": " + line + ": " +
                       error.what());
  }
}

void script::Run(const std::string& text) {
  std::istringstream lines(text);
  size_t number = 0;
  for (std::string line; std::getline(lines, line);) {
    RunLine(line, ++number);
  }
  GetWorld().RunFor(kFinalSettleTime);
  GetWorld().CheckEnd();
}

}  // namespace cuminswitch

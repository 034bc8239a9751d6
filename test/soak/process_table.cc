#include "soak/process_table.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace cuminswitch::soak {

process_table::~process_table() {
  for (const auto& [name, pid] : pids_) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
}

void process_table::Start(const std::string& name,
                          const std::vector<std::string>& arguments,
                          const std::string& log) {
  std::vector<char*> raw;
  raw.reserve(arguments.size() + 1);
  for (const std::string& item : arguments) {
    raw.push_back(const_cast<char*>(item.c_str()));
  }
  raw.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, raw[0], &actions, nullptr, raw.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + arguments.front());
  }
  pids_[name] = pid;
}

void process_table::Signal(const std::string& name, int signal) const {
  if (const auto found = pids_.find(name); found != pids_.end()) {
    kill(found->second, signal);
  }
}

std::vector<std::string> process_table::Reap() {
  std::vector<std::string> ended;
  std::erase_if(pids_, [&](const auto& item) {
    if (waitpid(item.second, nullptr, WNOHANG) != item.second) {
      return false;
    }
    ended.push_back(item.first);
    return true;
  });
  return ended;
}

/// Reads the port of an address in /proc/net/tcp, which is ADDRESS:PORT in
/// hexadecimal; 0 if \p address has another form.
static uint16_t ReadPort(const std::string& address) {
  const size_t colon = address.find(':');
  return colon == std::string::npos
             ? 0
             : static_cast<uint16_t>(
                   std::stoul(address.substr(colon + 1), nullptr, 16));
}

/// Returns the inode, as text, of the IPv4 socket that connects port \p local
/// to port \p remote; empty if there is none.
static std::string FindSocketInode(uint16_t local, uint16_t remote) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string from;
    std::string to;
    fields >> slot >> from >> to;
    if (ReadPort(from) != local || ReadPort(to) != remote) {
      continue;
    }
    constexpr int kFieldsBeforeInode = 6;
    std::string inode;
    for (int i = 0; i <= kFieldsBeforeInode; ++i) {
      fields >> inode;
    }
    return inode;
  }
  return {};
}

std::string process_table::OwnerOf(uint16_t local, uint16_t remote) const {
  const std::string wanted = "socket:[" + FindSocketInode(local, remote) + "]";
  for (const auto& [name, pid] : pids_) {
    std::error_code error;
    const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
    for (const auto& item :
         std::filesystem::directory_iterator(folder, error)) {
      if (std::filesystem::read_symlink(item.path(), error) == wanted) {
        return name;
      }
    }
  }
  return {};
}

}  // namespace cuminswitch::soak

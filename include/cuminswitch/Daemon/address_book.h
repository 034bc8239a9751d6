/// \file
/// Answers callers who ask which host to use.
#ifndef CUMINSWITCH_DAEMON_ADDRESS_BOOK_H_
#define CUMINSWITCH_DAEMON_ADDRESS_BOOK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/member.h"

namespace cuminswitch {

/// Chooses a few hosts per workspace by rendezvous hashing, so that every
/// daemon gives the same answer and one workspace's traffic meets at few
/// daemons. Hosts that leave are not named, and the second host is in another
/// failure domain than the first where there is one.
class address_book {
 public:
  void SetMembers(std::vector<member> members) {
    members_ = std::move(members);
  }

  /// Returns up to \p count hosts for \p workspace, best first.
  std::vector<const member*> Choose(std::string_view workspace,
                                    size_t count) const;

 private:
  std::vector<member> members_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_ADDRESS_BOOK_H_

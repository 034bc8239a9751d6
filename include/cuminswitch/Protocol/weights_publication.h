/// \file
/// When new weights were published.
#ifndef CUMINSWITCH_PROTOCOL_WEIGHTS_PUBLICATION_H_
#define CUMINSWITCH_PROTOCOL_WEIGHTS_PUBLICATION_H_

#include <string>

#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The publication of a target's new weights, with the time by this daemon's
/// clock.
struct weights_publication {
  std::string target;
  std::string version;
  /// The version that it superseded.
  std::string superseded;
  /// It was not published before this.
  time_point since{};

  friend bool operator==(const weights_publication&,
                         const weights_publication&) = default;
};

/// A publication in a message between daemons, whose clocks differ.
struct publication_report {
  std::string target;
  std::string version;
  std::string superseded;
  /// It was published at most this long ago.
  duration age{0};

  friend bool operator==(const publication_report&,
                         const publication_report&) = default;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PROTOCOL_WEIGHTS_PUBLICATION_H_

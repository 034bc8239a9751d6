#include "cuminswitch/Kernel/kernel.h"

#include <utility>

namespace cuminswitch {

kernel::~kernel() {
  StopAll();
}

void kernel::Register(std::unique_ptr<service> item) {
  services_.push_back(std::move(item));
}

service& kernel::Find(std::string_view name) const {
  for (const std::unique_ptr<service>& item : services_) {
    if (item->Name() == name) {
      return *item;
    }
  }
  throw std::out_of_range("no service is named " + std::string(name));
}

void kernel::StartAll() {
  try {
    for (; started_ < services_.size(); ++started_) {
      services_[started_]->Start();
    }
  } catch (...) {
    StopAll();
    throw;
  }
}

void kernel::StopAll() {
  while (started_ > 0) {
    --started_;
    services_[started_]->Stop();
  }
}

}  // namespace cuminswitch

/**
 * @file home_directory.cpp
 * Maintains the index of published homes (routers that hold home leases).
 */
#include "traffic/home_directory_base.h"

namespace waxwing {

bool HomeDirectory::update(std::shared_ptr<const HomesUpdate> homes) {
  auto &known = Services[homes->Service];
  if (known && known->Version >= homes->Version)
    return false;
  std::erase_if(Assignments, [&](const auto &entry) {
    return entry.first.first == homes->Service;
  });
  known = std::move(homes);
  for (const HomeAssignment &row : known->Assignments)
    Assignments[{known->Service, row.Resource}] = &row;
  return true;
}

const HomeAssignment *HomeDirectory::find(const ServiceId &service,
                                          const HomeResource &resource) const {
  const auto it = Assignments.find({service, resource});
  return it == Assignments.end() ? nullptr : it->second;
}

} // namespace waxwing

/**
 * @file home_directory.cpp
 * Index of published homes.
 */
#include "traffic/home_directory_base.h"

namespace waxwing {

bool HomeDirectory::take(std::shared_ptr<const HomesUpdate> homes) {
  auto &known = Services[homes->Service];
  if (known && known->Stamp >= homes->Stamp)
    return false;
  std::erase_if(Rows, [&](const auto &entry) {
    return entry.first.first == homes->Service;
  });
  known = std::move(homes);
  for (const HomeRow &row : known->Rows)
    Rows[{known->Service, row.Resource}] = &row;
  return true;
}

const HomeRow *HomeDirectory::find(const ServiceId &service,
                                   const HomeResource &resource) const {
  const auto it = Rows.find({service, resource});
  return it == Rows.end() ? nullptr : it->second;
}

} // namespace waxwing

/**
 * @file vm_list_type.h
 * The platform's list of VMs. It may be out of date.
 */
#ifndef WAXWING_MEMBERSHIP_VM_LIST_TYPE_H
#define WAXWING_MEMBERSHIP_VM_LIST_TYPE_H

#include "core/endpoint_type.h"
#include "core/id_type.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace waxwing {

/// Entry of the platform's list for one VM.
struct ListedVm {
  VmId Vm;
  DomainId Domain;
  Endpoint Link;    ///< where its controller accepts links
  Endpoint Forward; ///< where its router accepts forwarded requests
  bool IsLeaving = false;
  bool operator==(const ListedVm &) const = default;
};

/// Parses the platform's JSON: [{"name", "domain", "link", "forward",
/// "leaving"}]; "leaving" is optional.
/// @return the VMs, or InvalidArgument with the parser's message
absl::StatusOr<std::vector<ListedVm>> parseVmList(const std::string &json);

} // namespace waxwing

#endif

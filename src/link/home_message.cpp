/**
 * @file home_message.cpp
 * Encodes the bodies of home lease messages. A HomeResource is encoded as a
 * string if it is an upstream and as a number if it is a partition.
 */
#include "link/home_message_func.h"

#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

Json encodeResource(const HomeResource &resource) {
  return std::visit([](const auto &id) { return Json(id.Value); }, resource);
}

HomeResource decodeResource(const Json &json) {
  if (json.is_string())
    return UpstreamId(json.get<std::string>());
  return PartitionId(json.get<std::uint32_t>());
}

Json encodeEndpoint(const Endpoint &endpoint) {
  return formatEndpoint(endpoint);
}

Endpoint decodeEndpoint(const Json &json) {
  return parseEndpoint(json.get<std::string>());
}

} // namespace

Json encodeHomeLeaseRequest(const HomeLeaseRequest &request) {
  Json heldLeases = Json::array();
  for (const HeldLease &row : request.HeldLeases)
    heldLeases.push_back(
        Json::array({encodeResource(row.Resource), row.IsWarm, row.IsExpired}));
  return Json::array(
      {request.Service.Value, request.Router.Value, request.Process.Value,
       encodeEndpoint(request.ForwardEndpoint), request.RequestNumber,
       std::move(heldLeases), request.IsLeaving, request.Domain.Value});
}

HomeLeaseRequest decodeHomeLeaseRequest(const Json &body) {
  HomeLeaseRequest request;
  request.Service = ServiceId(body.at(0).get<std::string>());
  request.Router = VmId(body.at(1).get<std::string>());
  request.Process = Incarnation(body.at(2).get<std::uint64_t>());
  request.ForwardEndpoint = decodeEndpoint(body.at(3));
  request.RequestNumber = body.at(4).get<std::uint64_t>();
  request.IsLeaving = body.at(6).get<bool>();
  request.Domain = DomainId(body.at(7).get<std::string>());
  for (const Json &row : body.at(5))
    request.HeldLeases.push_back({decodeResource(row.at(0)),
                                  row.at(1).get<bool>(),
                                  row.at(2).get<bool>()});
  return request;
}

Json encodeHomeLeaseResponse(const HomeLeaseResponse &response) {
  Json leases = Json::array();
  for (const HomeLease &row : response.Leases)
    leases.push_back(Json::array({encodeResource(row.Resource), row.IsWarm,
                                  row.IsVacant, row.IsReleasing}));
  return Json::array({response.Service.Value, response.Router.Value,
                      response.Process.Value, response.RequestNumber,
                      response.Term.count(), std::move(leases)});
}

HomeLeaseResponse decodeHomeLeaseResponse(const Json &body) {
  HomeLeaseResponse response{ServiceId(body.at(0).get<std::string>()),
                             VmId(body.at(1).get<std::string>()),
                             Incarnation(body.at(2).get<std::uint64_t>()),
                             body.at(3).get<std::uint64_t>(),
                             Duration(body.at(4).get<std::int64_t>()),
                             {}};
  for (const Json &row : body.at(5))
    response.Leases.push_back({decodeResource(row.at(0)), row.at(1).get<bool>(),
                               row.at(2).get<bool>(), row.at(3).get<bool>()});
  return response;
}

Json encodeHomesUpdate(const HomesUpdate &update) {
  Json rows = Json::array();
  for (const HomeAssignment &row : update.Assignments)
    rows.push_back(Json::array({encodeResource(row.Resource), row.Router.Value,
                                encodeEndpoint(row.ForwardEndpoint)}));
  return Json::array({update.Service.Value, update.Version.Record.Value,
                      update.Version.Sequence, std::move(rows)});
}

HomesUpdate decodeHomesUpdate(const Json &body) {
  HomesUpdate update{ServiceId(body.at(0).get<std::string>()),
                     {Revision(body.at(1).get<std::uint64_t>()),
                      body.at(2).get<std::uint64_t>()},
                     {}};
  for (const Json &row : body.at(3))
    update.Assignments.push_back({decodeResource(row.at(0)),
                                  VmId(row.at(1).get<std::string>()),
                                  decodeEndpoint(row.at(2))});
  return update;
}

} // namespace waxwing

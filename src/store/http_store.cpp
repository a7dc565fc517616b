/**
 * @file http_store.cpp
 * HTTP requests to the stand-in store and decoding of its responses.
 */
#include "store/http_store.h"

#include "net/url_func.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

constexpr std::size_t MaxStoreConnections = 32;
constexpr std::string_view RevisionHeader = "X-Revision";

Revision readRevisionHeader(const HttpResponse &response) {
  const std::string_view text = response.Headers.find(RevisionHeader);
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return Revision(n);
}

StoreListResult decodeListResponse(const HttpResponse &response) {
  StoreListResult result;
  try {
    const auto json = nlohmann::json::from_cbor(response.Body);
    result.AsOfRevision = Revision(json.at("revision").get<std::uint64_t>());
    for (const auto &entry : json.at("entries")) {
      const auto &bytes = entry.at(2).get_binary();
      result.Entries.push_back({entry.at(0).get<std::string>(),
                                Revision(entry.at(1).get<std::uint64_t>()),
                                std::string(bytes.begin(), bytes.end())});
    }
    result.Status = StoreStatus::Done;
  } catch (const std::exception &) {
    result = {};
  }
  return result;
}

} // namespace

HttpStore::HttpStore(IoThread &io, Endpoint store, Duration timeout)
    : Client(io, MaxStoreConnections), Store(std::move(store)),
      Timeout(timeout) {}

void HttpStore::get(const std::string &key,
                    std::function<void(StoreGetResult)> completion) {
  HttpRequest request;
  request.Target = "/kv?key=" + encodeUrl(key);
  Client.send(Store, std::move(request), readClock() + Timeout,
              [key, completion = std::move(completion)](HttpOutcome outcome) {
                StoreGetResult result;
                const int status = outcome.Response.Status;
                if (outcome.Progress == HttpProgress::Answered &&
                    (status == 200 || status == 404)) {
                  result.Status = StoreStatus::Done;
                  result.Entry = {key, readRevisionHeader(outcome.Response),
                                  std::move(outcome.Response.Body)};
                  if (status == 404)
                    result.Entry = {key, Revision(0), ""};
                }
                completion(std::move(result));
              });
}

void HttpStore::compareAndSwap(const std::string &key, Revision expected,
                               std::string value,
                               std::function<void(StorePutResult)> completion) {
  HttpRequest request;
  request.Method = "PUT";
  request.Target =
      fmt::format("/kv?key={}&expect={}", encodeUrl(key), expected.Value);
  request.Body = std::move(value);
  Client.send(Store, std::move(request), readClock() + Timeout,
              [completion = std::move(completion)](const HttpOutcome &outcome) {
                StorePutResult result;
                result.Rev = readRevisionHeader(outcome.Response);
                if (outcome.Progress == HttpProgress::Answered) {
                  if (outcome.Response.Status == 200)
                    result.Status = StoreStatus::Done;
                  if (outcome.Response.Status == 409)
                    result.Status = StoreStatus::Conflict;
                }
                completion(result);
              });
}

void HttpStore::list(const std::string &prefix,
                     std::function<void(StoreListResult)> completion) {
  fetchList("/list?prefix=" + encodeUrl(prefix), Timeout,
            std::move(completion));
}

void HttpStore::watch(const std::string &prefix, Revision after, Duration wait,
                      std::function<void(StoreListResult)> completion) {
  fetchList(fmt::format("/watch?prefix={}&after={}&wait_ms={}",
                        encodeUrl(prefix), after.Value, wait.count() / 1000),
            wait + Timeout, std::move(completion));
}

void HttpStore::fetchList(std::string target, Duration timeout,
                          std::function<void(StoreListResult)> completion) {
  HttpRequest request;
  request.Target = std::move(target);
  Client.send(Store, std::move(request), readClock() + timeout,
              [completion = std::move(completion)](const HttpOutcome &outcome) {
                StoreListResult result;
                if (outcome.Progress == HttpProgress::Answered &&
                    outcome.Response.Status == 200)
                  result = decodeListResponse(outcome.Response);
                completion(std::move(result));
              });
}

} // namespace waxwing

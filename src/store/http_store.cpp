/**
 * @file http_store.cpp
 * HTTP requests to the stand-in store and decoding of its responses.
 */
#include "store/http_store.h"

#include "net/url_func.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace waxwing {
namespace {

constexpr std::size_t MaxStoreConnections = 32;
constexpr std::string_view RevisionHeader = "X-Revision";
constexpr std::string_view EpochHeader = "X-Epoch";
constexpr int StatusUnknownRevision = 410;

std::uint64_t readNumberHeader(const HttpResponse &response,
                               std::string_view name) {
  const std::string_view text = response.Headers.find(name);
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

StoreEpoch readEpochHeader(const HttpResponse &response) {
  return static_cast<StoreEpoch>(readNumberHeader(response, EpochHeader));
}

Revision readRevisionHeader(const HttpResponse &response) {
  return Revision(makeStoreRevision(
      readEpochHeader(response), readNumberHeader(response, RevisionHeader)));
}

StoreListResult decodeListResponse(const HttpResponse &response) {
  StoreListResult result;
  try {
    const auto json = nlohmann::json::from_cbor(response.Body);
    const auto epoch = json.value("epoch", StoreEpoch{0});
    const auto decodeRevision = [epoch](const nlohmann::json &counter) {
      return Revision(makeStoreRevision(epoch, counter.get<std::uint64_t>()));
    };
    result.AsOfRevision = decodeRevision(json.at("revision"));
    for (const auto &entry : json.at("entries")) {
      const auto &bytes = entry.at(2).get_binary();
      result.Entries.push_back({entry.at(0).get<std::string>(),
                                decodeRevision(entry.at(1)),
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
    : Io(io), Client(io, MaxStoreConnections), Store(std::move(store)),
      Timeout(timeout) {}

/// Notes the epoch of a response.
/// @return false without a response, or if it is from an earlier epoch
bool HttpStore::acceptEpoch(const HttpOutcome &outcome) {
  if (outcome.Progress != HttpProgress::Answered)
    return false;
  const StoreEpoch epoch = readEpochHeader(outcome.Response);
  if (Epoch && epoch > *Epoch)
    spdlog::warn("the store was restored from an older copy: epoch {} after {}",
                 epoch, *Epoch);
  if (Epoch && epoch < *Epoch) {
    spdlog::warn(
        "ignores a response of the store's epoch {}; it is in epoch {}", epoch,
        *Epoch);
    return false;
  }
  Epoch = epoch;
  return true;
}

void HttpStore::get(const std::string &key,
                    std::function<void(StoreGetResult)> completion) {
  HttpRequest request;
  request.Target = "/kv?key=" + encodeUrl(key);
  Client.send(
      Store, std::move(request), readClock() + Timeout,
      [this, key, completion = std::move(completion)](HttpOutcome outcome) {
        StoreGetResult result;
        const int status = outcome.Response.Status;
        if (acceptEpoch(outcome) && (status == 200 || status == 404)) {
          result.Status = StoreStatus::Done;
          result.Epoch = *Epoch;
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
  if (isOutdated(expected)) {
    Io.post([completion = std::move(completion)] {
      completion({StoreStatus::Conflict, Revision()});
    });
    return;
  }
  HttpRequest request;
  request.Method = "PUT";
  request.Target = fmt::format("/kv?key={}&expect={}", encodeUrl(key),
                               counterOf(expected.Value));
  request.Body = std::move(value);
  Client.send(Store, std::move(request), readClock() + Timeout,
              [this, expected,
               completion = std::move(completion)](const HttpOutcome &outcome) {
                StorePutResult result;
                if (acceptEpoch(outcome)) {
                  result.Rev = readRevisionHeader(outcome.Response);
                  if (outcome.Response.Status == 200 && !isOutdated(expected))
                    result.Status = StoreStatus::Done;
                  if (outcome.Response.Status == 409)
                    result.Status = StoreStatus::Conflict;
                }
                completion(result);
              });
}

void HttpStore::list(const std::string &prefix,
                     std::function<void(StoreListResult)> completion) {
  fetchList("/list?prefix=" + encodeUrl(prefix), Revision(), Timeout,
            std::move(completion));
}

void HttpStore::watch(const std::string &prefix, Revision after, Duration wait,
                      std::function<void(StoreListResult)> completion) {
  if (isOutdated(after)) {
    Io.post([completion = std::move(completion)] {
      StoreListResult result;
      result.MustList = true;
      completion(std::move(result));
    });
    return;
  }
  fetchList(fmt::format("/watch?prefix={}&after={}&wait_ms={}",
                        encodeUrl(prefix), counterOf(after.Value),
                        wait.count() / 1000),
            after, wait + Timeout, std::move(completion));
}

/// @param after revision from which a watch began; 0 for a list
void HttpStore::fetchList(std::string target, Revision after, Duration timeout,
                          std::function<void(StoreListResult)> completion) {
  HttpRequest request;
  request.Target = std::move(target);
  Client.send(Store, std::move(request), readClock() + timeout,
              [this, after,
               completion = std::move(completion)](const HttpOutcome &outcome) {
                StoreListResult result;
                if (acceptEpoch(outcome)) {
                  const int status = outcome.Response.Status;
                  if (status == StatusUnknownRevision || isOutdated(after))
                    result.MustList = true;
                  else if (status == 200)
                    result = decodeListResponse(outcome.Response);
                }
                completion(std::move(result));
              });
}

} // namespace waxwing

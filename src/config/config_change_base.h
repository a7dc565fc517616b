/**
 * @file config_change_base.h
 * One change on its way into the store: read, execute and check, compare
 * and swap, and read back when an answer is lost.
 */
#ifndef WAXWING_CONFIG_CONFIG_CHANGE_BASE_H
#define WAXWING_CONFIG_CONFIG_CHANGE_BASE_H

#include "config/config_writer_type.h"

namespace waxwing {

/// A change between its request and its answer.
/// Invariants: at most one store call is under way. Once a write was sent,
/// no answer but Unresolved is given before the store's document shows
/// whether the write took effect, or can no longer do so.
class ConfigChange {
public:
  explicit ConfigChange(ConfigRequest request);

  /// @return the first action
  ConfigAction start(std::uint64_t operation);
  std::optional<ConfigAction> onRead(const StoreGetResult &result,
                                     std::uint64_t nextOperation, Time now);
  std::optional<ConfigAction> onWritten(const StorePutResult &result,
                                        std::uint64_t nextOperation, Time now);
  std::optional<ConfigAction> onTick(std::uint64_t nextOperation, Time now);

  const ConfigRequest &request() const { return Request; }
  std::uint64_t operation() const { return Operation; }

private:
  /// A write whose effect may still be unknown.
  struct SentWrite {
    Revision Expected;
    std::string Text;
    std::vector<ValueChange> Values;
  };

  ConfigAction read(std::uint64_t operation);
  ConfigAction write(std::uint64_t operation);
  ConfigAction answer(ConfigAnswer answer);
  ConfigAction refuse(ConfigVerdict verdict, Revision rev, std::string message);
  std::optional<ConfigAction> resolve(const ConfigDocument &document,
                                      Revision rev,
                                      std::uint64_t nextOperation);
  ConfigAction attempt(ConfigDocument document, Revision rev,
                       std::uint64_t nextOperation);
  std::optional<ConfigAction> checkBase(const ConfigDocument &document,
                                        Revision rev);
  std::optional<ConfigAction> findEarlier(const ConfigDocument &document,
                                          Revision rev);

  ConfigRequest Request;
  std::string Fingerprint;
  std::optional<Revision> Base;  ///< changes after it may conflict
  std::optional<SentWrite> Sent; ///< its effect is not known
  std::uint64_t Operation = 0;   ///< under way, 0 for none
  std::optional<Time> RetryAt;   ///< when to call the store again
};

} // namespace waxwing

#endif

/**
 * @file config_change_base.h
 * Applies one change to a document in the store: reads it, executes and
 * checks the commands, writes the result by compare-and-swap, and reads the
 * document again when the response to the write is lost.
 */
#ifndef WAXWING_CONFIG_CONFIG_CHANGE_BASE_H
#define WAXWING_CONFIG_CONFIG_CHANGE_BASE_H

#include "config/config_writer_type.h"

namespace waxwing {

/// State machine of one change, from its request to its response.
/// Invariants: at most one store call is in progress. A response that is given
/// while the effect of a sent write is unknown is always Unresolved.
class ConfigChange {
public:
  explicit ConfigChange(ConfigRequest request);

  /// @param operation id of the store call that the action starts
  /// @return the first action, a read of the document
  ConfigAction start(std::uint64_t operation);
  /// The following handlers return the next action, or nothing while waiting.
  /// @param nextOperation id of the store call that the action may start
  std::optional<ConfigAction> onRead(const StoreGetResult &result,
                                     std::uint64_t nextOperation, Time now);
  std::optional<ConfigAction> onWritten(const StorePutResult &result,
                                        std::uint64_t nextOperation, Time now);
  std::optional<ConfigAction> onTick(std::uint64_t nextOperation, Time now);

  const ConfigRequest &request() const { return Request; }
  /// @return id of the store call in progress, 0 for none
  std::uint64_t operation() const { return Operation; }

private:
  /// A write that was sent; its result may be unknown.
  struct UnconfirmedWrite {
    Revision Expected;
    std::string Text;
    std::vector<ValueChange> Values;
  };

  ConfigAction startRead(std::uint64_t operation);
  ConfigAction startWrite(std::uint64_t operation);
  ConfigAction respond(ConfigResponse response);
  ConfigAction refuse(ConfigOutcome outcome, Revision rev, std::string message);
  std::optional<ConfigAction>
  resolveUnconfirmedWrite(const ConfigDocument &document, Revision rev,
                          std::uint64_t nextOperation);
  ConfigAction tryWrite(ConfigDocument document, Revision rev,
                        std::uint64_t nextOperation);
  std::optional<ConfigAction> checkBase(const ConfigDocument &document,
                                        Revision rev);
  std::optional<ConfigAction> findAppliedChange(const ConfigDocument &document,
                                                Revision rev);

  ConfigRequest Request;
  std::string Fingerprint;
  std::optional<Revision> Base; ///< revision that the change is based on
  std::optional<UnconfirmedWrite> Unconfirmed; ///< last write sent
  std::uint64_t Operation = 0; ///< store call in progress, 0 for none
  std::optional<Time> RetryAt; ///< time to read again after a failure
};

} // namespace waxwing

#endif

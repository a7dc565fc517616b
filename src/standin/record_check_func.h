/**
 * @file record_check_func.h
 * Compares upstream stand-ins' records with what callers were told.
 */
#ifndef WAXWING_STANDIN_RECORD_CHECK_FUNC_H
#define WAXWING_STANDIN_RECORD_CHECK_FUNC_H

#include "standin/load_base.h"

namespace waxwing {

/// @param records bodies of /record, "" for an upstream that is gone
/// @param writes what callers were told, by idempotency key
RecordCheck compareRecords(const std::vector<std::string> &records,
                           const std::map<std::string, WriteEnd> &writes);

} // namespace waxwing

#endif

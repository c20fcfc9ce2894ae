#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl_commands.h"

/// Traces one request through the logs of relays and companions.
namespace shuntjunction::ctl {

/// Prints the log lines of a request in order of time.
///
/// Includes lines without a request id from shortly before the request until
/// its end: those about the endpoints that it used, and those about no endpoint
/// from the processes that served it. They show what changed in a process's
/// view of the endpoints, the configuration or the store.
///
/// @param aFiles  log files, one per process; each printed line names its file
/// @return kNotFound when no line has the id, kBadInput when a file cannot be
///         read
int
TraceRequest(const std::string& aRequestId,
             const std::vector<std::string>& aFiles,
             std::ostream& aOut,
             std::ostream& aErrors);

} // namespace shuntjunction::ctl

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl_commands.h"

/// What the logs of relays and companions say of one request.
namespace shuntjunction::ctl {

/// Prints the lines of a request, and those from shortly before it until its
/// end that changed what a process believed of the endpoints that it met, of
/// the configuration or of the store; all in the order of their times.
///
/// @param aFiles  logs, one a process, named in what is printed
/// @return kNotFound when no line has the id, kBadInput when a file cannot be
///         read
int
TraceRequest(const std::string& aRequestId,
             const std::vector<std::string>& aFiles,
             std::ostream& aOut,
             std::ostream& aErrors);

} // namespace shuntjunction::ctl

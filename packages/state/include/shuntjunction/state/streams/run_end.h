#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "shuntjunction/state/clock.h"
#include "shuntjunction/state/endpoint_incarnation.h"
#include "shuntjunction/state/enum_names.h"

/// Decides from an engine's own replies whether a run there has ended.
namespace shuntjunction::state {

/// What shows that a run has ended for good, so that it may continue elsewhere.
///
/// The silence of an engine or of its companion, the end of a connection and an
/// entry that left the list show nothing: a machine that stood still goes on
/// with its runs.
enum class RunEnd : std::uint8_t
{
  kUnknown,    ///< it may still run
  kRefused,    ///< nothing listens at the engine's address any more
  kReplaced,   ///< another incarnation or endpoint replied at its address
  kNotRunning, ///< the engine replied that it does not run it
};

/// Names of RunEnd.
inline constexpr EnumNames<RunEnd, 4> kRunEndNames{
  { "unknown", "refused", "replaced", "not-running" }
};

/// Kind of an engine's reply to a query for its runs.
enum class RunsReplyKind : std::uint8_t
{
  kNone,    ///< no usable reply came in time
  kRefused, ///< the engine's machine refused the connection
  kOther,   ///< another endpoint replied
  kRuns,    ///< the engine listed its runs
};

/// Names of RunsReplyKind.
inline constexpr EnumNames<RunsReplyKind, 4> kRunsReplyKindNames{
  { "none", "refused", "other", "runs" }
};

/// An engine's reply to a query for its runs, on a connection of its own.
struct RunsReply
{
  RunsReplyKind mKind = RunsReplyKind::kNone;
  // Of kRuns only.
  EndpointIncarnation mIncarnation;
  /// Requests that wait to begin, or to begin again after a preemption; these
  /// are not among the runs.
  std::int64_t mQueued = 0;
  std::vector<std::string> mRequestIds; ///< of the runs
};

/// A run whose end is in question.
struct RunInQuestion
{
  std::string mRequestId;
  TimePoint mSentAt;
  /// Incarnation of the engine whose reply, asked after the send, listed the
  /// run; empty: none did. What the relay knew at the send may be outdated.
  std::optional<EndpointIncarnation> mListedBy;

  /// Takes from a reply whether it lists the run; replies are given in the
  /// order in which they were asked.
  void NoteReply(const RunsReply& aReply, TimePoint aAskedAt);
};

/// What a reply shows about the end of a run.
///
/// That a run is not listed shows its end only after an earlier reply listed
/// it: a request may not have been read or begun yet, and a reply may be from
/// before a standstill of the engine, however long ago that began.
///
/// A run never begins again, so whatever shows its end holds from then on; it
/// needs no second check before the run continues elsewhere.
///
/// @param aAskedAt  when the query was sent
/// Thread safety: pure.
RunEnd
EndOfRun(const RunInQuestion& aRun,
         const RunsReply& aReply,
         TimePoint aAskedAt);

} // namespace shuntjunction::state

#pragma once

// Private to coordination: one request's way through a relay.

#include "relay_endpoint_choice.h"
#include "relay_core.h"
#include "shuntjunction/state/request_digest.h"

namespace shuntjunction::coordination {

/// Why a request is refused that endpoints crash under.
inline constexpr std::string_view kQuarantinedReason = "quarantined";

/// How long a refused caller is told to stay away.
inline constexpr state::Millis kRetrySoon{ 100 };

/// The same when no endpoint of its service answers, or all of them drain: the
/// time in which one that was started is listed.
inline constexpr state::Millis kRetryAfterOutage{ 1500 };

/// How often a request that waits looks again.
inline constexpr state::Millis kPollInterval{ 15 };

/// Why a run was interrupted.
enum class RunInterrupt : std::uint8_t
{
  kNone,
  kCallerGone,
  kDeadline,
  kQuarantined, ///< endpoints crashed under the same request elsewhere
};

/// What became of one attempt at an endpoint.
enum class AttemptOutcome : std::uint8_t
{
  kDone,        ///< the answer was passed on, whole
  kUnsent,      ///< the endpoint could not be reached; nothing was sent
  kWithheld,    ///< nothing was sent, and nothing may be any more
  kLeft,        ///< nothing was sent: the endpoint takes no work any more
  kNoPlace,     ///< nothing was sent: the endpoint named a rate meanwhile
  kCooldown,    ///< nothing was sent: the endpoint wants nothing for a time
  kNotRun,      ///< the endpoint said that it did not run the request
  kMisdirected, ///< the endpoint is another, or has other weights
  kFailed,      ///< the endpoint's own failure, which is kept for the caller
  kBroken,      ///< it may have run; the answer is missing or unusable
  kSilent,      ///< the same: nothing shows that the endpoint's machine runs
  kInterrupted, ///< see RunInterrupt
};

/// Names of AttemptOutcome.
inline constexpr state::EnumNames<AttemptOutcome, 12> kAttemptOutcomeNames{
  { "done",
    "unsent",
    "withheld",
    "left",
    "no-place",
    "cooldown",
    "not-run",
    "misdirected",
    "failed",
    "broken",
    "silent",
    "interrupted" }
};

/// What a relay holds of a share of a team's limit.
struct ReservedUsage
{
  state::ShareSource mSource;
  std::uint32_t mAmount = 0;
};

/// What a team's companions said to the question for its limit.
struct UsageReservation
{
  int mAsked = 0;  ///< shares whose companions answered, or were known empty
  int mSilent = 0; ///< shares whose companions could not be asked
  std::uint32_t mHeld = 0;
  state::Millis mRefill{ 0 }; ///< until one of them has more
};

/// How one attempt went on, counted from the request's arrival.
struct AttemptTimes
{
  std::optional<state::Millis> mSent;  ///< empty: nothing was sent
  std::optional<state::Millis> mFirst; ///< the answer's first bytes
  state::Millis mLongestPause{ 0 };    ///< between pieces of the answer
  state::Millis mLastChunk{ 0 };
};

/// Serves one request: finds its route and team, chooses endpoints, passes the
/// answer on.
///
/// Thread safety: none; used on the relay's thread.
class RelayRun
{
public:
  /// @param aCaller  connection of the caller; outlives the run
  RelayRun(std::shared_ptr<Relay::Core> aCore,
           transport::SocketReader& aCaller,
           std::shared_ptr<transport::RelayRequest> aRequest,
           state::TimePoint aArrival);

  /// Runs to the end; whether the caller's connection may be kept.
  transport::Task<bool> Run();

private:
  struct Attempt;

  // Admission.
  transport::Task<void> AwaitConfig();
  /// When a caller that this relay has no time for may come back.
  state::Millis SpreadRetryAfter();
  bool FindRoute();
  bool FindTeam();
  std::string SelectService();
  state::RequestDigest DigestOfRequest() const;
  /// Whether endpoints crash under the request; notes its digest.
  bool IsQuarantined();
  bool AreKeysStale() const;

  // The team's limit.
  /// Takes from it what the request will use; whether it may be sent.
  transport::Task<bool> ReserveUsage();
  /// Asks the team's companions, one after the other, until enough is held.
  transport::Task<UsageReservation> RequestUsage(std::uint32_t aAmount);
  /// What the request counts in the unit of its team's limit.
  std::uint32_t RequestCost() const;
  /// Gives back what is held and was not used.
  void ReleaseUsage();
  /// Takes that an endpoint may have run the request: what is held is used.
  void CommitUsage(AttemptOutcome aOutcome);
  void LogLimit(const UsageReservation& aAnswer, std::uint32_t aAmount);

  // The endpoint's own limit.
  /// Whether its endpoint may get the request now, as far as its rate goes.
  transport::Task<bool> AcquirePermit(const EndpointChoice& aPick);
  /// Whether the place that is held is one at an endpoint.
  bool HasPermitFor(const RelayEndpointPtr& aEndpoint) const;
  /// Gives a place back whose request was not sent.
  void ReturnPermit();
  /// Whether no endpoint of the service takes the request until a time; sets
  /// the reason and the Retry-After of its refusal.
  bool IsUnavailable(const EndpointQuery& aAsk, state::TimePoint aUntil);

  // Attempts.
  transport::Task<void> Serve();
  /// Of the team, or of the route; the lowest is the most urgent.
  int Urgency() const;
  transport::Task<std::optional<EndpointChoice>> Pick();
  /// What the choice of an endpoint needs to know now.
  EndpointQuery MakeEndpointQuery() const;
  /// Whether the endpoint's machine has stopped, as far as is known, while
  /// another endpoint could take the request.
  bool ShouldMoveElsewhere(const EndpointChoice& aPick);
  transport::Task<void> WaitForPart(const EndpointChoice& aPick);
  /// Whether a request that nobody got yet would wait in vain at its endpoint.
  bool ShouldShed(const EndpointChoice& aPick) const;
  /// Notes what its caller is told then.
  void SetOverloadRefusal(const EndpointChoice& aPick);
  transport::Task<AttemptOutcome> Try(EndpointChoice aPick);
  transport::Task<AttemptOutcome> RunAttempt(EndpointChoice aPick);
  transport::Task<AttemptOutcome> Connect(Attempt& aAttempt);
  /// Asks at the last moment whether the endpoint may get the request.
  tl::expected<state::SendClearance, AttemptOutcome> ClearToSend(
    const Attempt& aAttempt);
  /// Why the request must not be sent anywhere at this moment; empty: it may
  /// be.
  std::string_view ReasonToWithhold();
  /// Gives a connection back on which nothing was sent.
  void ReleaseUnused(Attempt& aAttempt);
  void Send(Attempt& aAttempt, state::SendClearance aClearance);
  /// Takes that the endpoint answered, or that no answer is waited for.
  void SettleClearance(Attempt& aAttempt, bool aIsAccepted);
  ForwardingInfo MakeForwardingInfo(const EndpointChoice& aPick) const;
  void NotePartPrefill(const EndpointChoice& aPick);
  /// Counts the tokens that an endpoint has to read, and no more.
  void AddWaiting(const EndpointChoice& aPick);
  void RemoveWaiting(const EndpointChoice& aPick);
  /// @param aPart  of which news are wanted; empty: of none
  void ReportWaiting(const RelayEndpoint& aEndpoint, const std::string& aPart);
  /// Tells the other relays that a part is being read, or was.
  void AnnouncePartReading(const EndpointChoice& aPick, bool aIsDone);
  void NoteOutcome(const EndpointChoice& aPick, AttemptOutcome aOutcome);
  /// Finds out whether an endpoint crashed under the request.
  transport::Task<void> CheckForCrash(const EndpointChoice& aPick);
  /// Takes that an endpoint ran the request and is well.
  void NoteCompleted(unsigned aStatus);
  void LogSent(const EndpointChoice& aPick);
  void LogAttempt(const EndpointChoice& aPick, AttemptOutcome aOutcome);
  bool MayRetry(AttemptOutcome aOutcome);
  void Finish(Attempt& aAttempt);

  // An endpoint's answer.
  transport::Task<AttemptOutcome> ReadAnswer(Attempt& aAttempt);
  /// Parses what has arrived; empty when more must arrive first.
  std::optional<transport::ReadStep> ReadBuffered(Attempt& aAttempt);
  /// Judges a head when it is whole; an outcome if the answer is not passed on.
  std::optional<AttemptOutcome> EvaluateHeadOnce(Attempt& aAttempt,
                                                 transport::ReadStep aStep);
  /// Takes what an answer advertises, whatever becomes of the answer.
  void ApplyNotice(Attempt& aAttempt);
  /// The same of an answer that came while the run was interrupted.
  void ApplyUnreadNotice(Attempt& aAttempt);
  void SkipForeignAnswer(Attempt& aAttempt, bool aIsDone);
  std::optional<AttemptOutcome> EvaluateHead(Attempt& aAttempt);
  transport::Task<bool> ForwardBody(Attempt& aAttempt, bool aIsDone);
  transport::Task<bool> ForwardBufferedAnswer(Attempt& aAttempt);
  /// Whether an endpoint's failure, read whole, is worth a try at another.
  bool ShouldRetryFailure(const Attempt& aAttempt) const;
  /// Keeps an endpoint's failure for its caller, if no other does better.
  void SaveFailure(const Attempt& aAttempt);
  std::string BufferedAnswerText(const Attempt& aAttempt) const;
  transport::Task<bool> ForwardStreamChunk(Attempt& aAttempt, bool aIsDone);
  std::string ExtractCompleteEvents(std::string aBytes, bool aIsDone);
  void HandleAnswerBegun(const Attempt& aAttempt);
  void NoteChunkTime();

  // Answers of the relay's own.
  transport::Task<void> AnswerFailure();
  transport::Task<void> Refuse(unsigned aStatus,
                               std::string_view aReason,
                               std::optional<state::Millis> aRetryAfter = {});
  transport::Task<bool> WriteToCaller(std::string aBytes);
  std::string HeadText(const transport::RelayAnswer& aAnswer,
                       std::optional<std::size_t> aLength) const;
  void AppendConnectionField(std::string& aHeader) const;
  void CloseCallerConnection();

  void Interrupt(RunInterrupt aReason);
  void ArmDeadline();
  void LogOutcome(std::string_view aOutcome, std::string_view aReason);
  state::TimePoint Now() const { return mCore->mParts.mClock.Now(); }
  state::Millis SinceArrival() const;

  std::shared_ptr<Relay::Core> mCore;
  transport::SocketReader& mCaller;
  std::shared_ptr<transport::RelayRequest> mRequest;
  state::TimePoint mArrival;
  state::TimePoint mDeadline;
  std::shared_ptr<transport::Timer> mDeadlineTimer;
  std::shared_ptr<const RelayView> mView;
  CallInfo mCall;
  const state::RouteRule* mRoute = nullptr;
  const state::TeamRule* mTeam = nullptr;
  std::string mService;
  state::RequestDigest mDigest; ///< of what its caller sent
  RunInterrupt mInterrupt = RunInterrupt::kNone;
  std::shared_ptr<transport::SocketReader> mOpenConnection; ///< to be cut off
  std::vector<std::string> mTriedEndpoints; ///< endpoints that got the request
  AttemptTimes mTimes;                      ///< of the last attempt
  int mUnsentTries = 0; ///< endpoints that could not be reached
  int mCrashes = 0;     ///< endpoints that crashed under this run
  bool mMayHaveRun = false;
  bool mIsHeadForwarded = false;
  bool mIsKept = true;
  std::string mSavedFailure; ///< an endpoint's own, as its caller would get it
  unsigned mSavedFailureStatus = 0;
  std::string mPartialEvent; ///< bytes of an event that is not yet whole
  std::string mLastEventId;  ///< of the last event passed on
  unsigned mAnswerStatus = 0;
  std::string mLastProblem;
  state::Millis mRetryAfter = kRetrySoon;    ///< if it is refused unserved
  std::vector<ReservedUsage> mReservedUsage; ///< of the team's limit
  std::optional<HeldPermit> mPlace; ///< at the endpoint, if it names a rate
  bool mIsOverLimit = false;        ///< the team has used its limit up
};

} // namespace shuntjunction::coordination

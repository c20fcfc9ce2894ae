#pragma once

// Private to coordination: the course of one request through a relay.

#include "answer_trace.h"
#include "continuation/stream_copy.h"
#include "relay_endpoint_choice.h"
#include "relay_core.h"
#include "shuntjunction/state/event_splitter.h"
#include "shuntjunction/state/request_digest.h"

namespace shuntjunction::coordination {

/// Reason for refusing a request under which endpoints crash.
inline constexpr std::string_view kQuarantinedReason = "quarantined";

/// The same while its quarantine is deferred.
inline constexpr std::string_view kSuspectedReason = "crash-suspect";

/// Reason for refusing a request because this relay stops.
inline constexpr std::string_view kStoppingReason = "stopping";

/// Retry-After of a refused caller.
inline constexpr state::Millis kRetrySoon{ 100 };

/// The same when no endpoint of its service answers, or all of them drain: the
/// time in which a newly started one is listed.
inline constexpr state::Millis kRetryAfterOutage{ 1500 };

/// Interval at which a waiting request checks again.
inline constexpr state::Millis kPollInterval{ 15 };

/// Why a run was interrupted.
enum class RunInterrupt : std::uint8_t
{
  kNone,
  kCallerGone,
  kDeadline,
  kQuarantined, ///< endpoints crashed under the same request elsewhere
  kStopping,    ///< the relay is about to exit
};

/// Outcome of one attempt at an endpoint.
enum class AttemptOutcome : std::uint8_t
{
  kDone,        ///< the complete answer was forwarded
  kUnsent,      ///< the endpoint could not be reached; nothing was sent
  kWithheld,    ///< nothing was sent, and nothing may be any more
  kLeaving,     ///< nothing was sent: the endpoint accepts no more work
  kNoPermit,    ///< nothing was sent: the endpoint advertised a rate meanwhile
  kCooldown,    ///< nothing was sent: the endpoint asked for a cooldown
  kNotRun,      ///< the endpoint reported that it did not run the request
  kMisdirected, ///< the endpoint is another, or has other weights
  kFailed,      ///< the endpoint's own error, which is saved for the caller
  kBroken,      ///< it may have run; the answer is missing or unusable
  kSilent,      ///< the same: nothing shows that the endpoint's machine runs
  kEnded,       ///< the same: the endpoint's run is known to have ended
  kWithdrawn,   ///< an endpoint that was silent goes on with the request
  kInterrupted, ///< see RunInterrupt
};

/// Names of AttemptOutcome.
inline constexpr state::EnumNames<AttemptOutcome, 14> kAttemptOutcomeNames{
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
    "ended",
    "withdrawn",
    "interrupted" }
};

/// Timing of one attempt, counted from the request's arrival.
struct AttemptTimes
{
  std::optional<state::Millis> mSent;  ///< empty: nothing was sent
  std::optional<state::Millis> mFirst; ///< the answer's first bytes
  state::Millis mLongestPause{ 0 };    ///< between chunks of the answer
  state::Millis mLastChunk{ 0 };
};

/// What a run records of an attempt, without its connection.
struct AttemptRecord
{
  AttemptTimes mTimes;
  AnswerTrace mAnswerTrace;
  std::optional<state::RunInQuestion> mLatestRun;
  state::RunEnd mLatestEnd = state::RunEnd::kUnknown;
  std::optional<state::TimePoint> mAbsentSince;
  bool mIsPastBeginning = false;
  bool mIsTrial = false;
};

/// Where the events of a stream began.
struct StreamOrigin
{
  std::string mSoftwareVersion; ///< of the endpoint that made its first event
};

/// Serves one request: finds its route and team, chooses endpoints, forwards
/// the answer.
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
  ~RelayRun();
  RelayRun(const RelayRun&) = delete;
  RelayRun& operator=(const RelayRun&) = delete;

  /// Runs to the end; returns whether the caller's connection may be kept.
  transport::Task<bool> Run();

  /// Ends the run because the relay stops: the caller gets an answer, unless
  /// one was forwarded in part.
  void EndForStop();

  /// The same if the request runs nowhere: it can't be expected to end in time
  /// if it is sent now.
  void EndIfUnsent();

  /// Whether an answer was forwarded in part and could not be completed.
  ///
  /// @pre  Run has ended
  bool IsAnswerCut() const { return mIsAnswerCut; }

private:
  struct Attempt;
  struct SuspendedAttempt;

  // Admission.
  transport::Task<void> AwaitConfig();
  /// Retry-After of a caller that this overloaded relay refuses.
  state::Millis SpreadRetryAfter();
  bool FindRoute();
  bool FindTeam();
  std::string SelectService();
  state::RequestDigest DigestOfRequest() const;
  /// Whether the request or one of its parts is quarantined; sets its digests.
  bool IsQuarantined();
  /// How long it is refused; zero if it may run.
  state::Millis QuarantineLeft() const;
  bool AreKeysStale() const;

  // The team's limit.
  /// Reserves the request's usage from the limit; returns whether the request
  /// may be sent.
  transport::Task<bool> ReserveUsage();
  /// Requests usage from the team's limit.
  transport::Task<UsageReservation> RequestUsage(std::uint32_t aAmount);
  /// Usage of the request in the unit of its team's limit.
  std::uint32_t RequestCost() const;
  /// Returns what is reserved and was not used.
  void ReleaseUsage();
  /// Counts the reserved usage as used if an endpoint may have run the request.
  void CommitUsage(AttemptOutcome aOutcome);
  void LogLimit(const UsageReservation& aReservation, std::uint32_t aAmount);

  // The retry budget.
  /// Whether the budget allows the next attempt. If the ratio of this relay's
  /// own requests does not, a repeat is reserved from the service's pool.
  transport::Task<bool> ReserveRetry();
  /// Counts a repeat that is about to be sent; returns whether it is allowed.
  bool UseRetry();
  /// Notes that an attempt's request has arrived at its endpoint.
  void NoteArrival(Attempt& aAttempt);
  /// Has the charges of an attempt that ended wait for its endpoint, if its
  /// request may still arrive there.
  void KeepUnsettled(Attempt& aAttempt, AttemptOutcome aOutcome);
  /// Returns a reserved repeat that was not sent.
  void ReleaseRetry();

  // The endpoint's own limit.
  /// Whether the chosen endpoint may get the request now, as far as its rate
  /// allows.
  transport::Task<bool> AcquirePermit(const EndpointChoice& aChoice);
  /// Whether the permit held is one for this endpoint.
  bool HasPermitFor(const RelayEndpointPtr& aEndpoint) const;
  /// Returns a permit whose request was not sent.
  void ReturnPermit();
  /// Whether no endpoint of the service accepts the request until a time; sets
  /// the reason and the Retry-After of its refusal.
  bool IsUnavailable(const EndpointQuery& aQuery, state::TimePoint aUntil);

  // Shared parts under which endpoints crash.
  /// Waits until the request may be sent, as far as its parts are suspected;
  /// false: it may not be.
  transport::Task<bool> AwaitTrial();
  void ReleaseTrials();
  /// Ends the request if one of its parts was just quarantined and its answer
  /// has not got past its beginning.
  void EndIfPartIsQuarantined();
  /// Records that the answer got past its beginning.
  void NoteAnswered();
  /// Records that an endpoint crashed under the request.
  void NoteCrash(const RelayEndpoint& aEndpoint);

  // Attempts.
  transport::Task<void> Serve();
  /// Makes attempts until one answers the caller or none is left; returns
  /// whether one did.
  transport::Task<bool> MakeAttempts();
  /// Chooses the endpoint of the next attempt, once the request may be sent
  /// there; empty if no further attempt can be made.
  transport::Task<std::optional<EndpointChoice>> PrepareAttempt();
  /// Acts on the outcome of an attempt that has ended or is suspended; returns
  /// the outcome of the last run if a copy continued it.
  transport::Task<AttemptOutcome> SettleAttempt(EndpointChoice aChoice,
                                                AttemptOutcome aOutcome);
  /// Of the team, or of the route; the lowest is the most urgent.
  int Urgency() const;
  transport::Task<std::optional<EndpointChoice>> SelectEndpoint();
  /// Input of the choice of an endpoint at this moment.
  EndpointQuery MakeEndpointQuery() const;
  /// Whether the endpoint's machine has stopped, as far as is known, while
  /// another endpoint could take the request.
  bool ShouldMoveElsewhere(const EndpointChoice& aChoice);
  /// The same, once the retry budget allows the next attempt.
  transport::Task<bool> MayMoveElsewhere(Attempt& aAttempt);
  transport::Task<void> WaitForPart(const EndpointChoice& aChoice);
  /// Whether a request that was not sent yet would wait in vain at its
  /// endpoint.
  bool ShouldShed(const EndpointChoice& aChoice) const;
  /// Sets the refusal that its caller gets then.
  void SetOverloadRefusal(const EndpointChoice& aChoice);
  transport::Task<AttemptOutcome> TryEndpoint(EndpointChoice aChoice);
  transport::Task<AttemptOutcome> RunAttempt(EndpointChoice aChoice);
  /// Reads the answer to a request that was sent, then ends or suspends its
  /// attempt.
  transport::Task<AttemptOutcome> CompleteAttempt(
    std::unique_ptr<Attempt> aAttempt);
  /// Records where the request runs.
  void NoteRunning(const Attempt& aAttempt);
  /// Closes the connection of an attempt that was sent, and settles its counts.
  void EndAttempt(Attempt& aAttempt, AttemptOutcome aOutcome);
  transport::Task<AttemptOutcome> Connect(Attempt& aAttempt);
  /// Checks at the last moment whether the endpoint may get the request.
  tl::expected<state::SendClearance, AttemptOutcome> ClearToSend(
    const Attempt& aAttempt);
  /// Why the request must not be sent anywhere at this moment; empty if it may
  /// be.
  std::string_view ReasonToWithhold();
  /// Returns a connection on which nothing was sent.
  void ReleaseUnused(Attempt& aAttempt);
  void Send(Attempt& aAttempt, state::SendClearance aClearance);
  /// Records that the endpoint answered, or that no answer is awaited any more.
  void SettleClearance(Attempt& aAttempt, bool aIsAccepted);
  ForwardingInfo MakeForwardingInfo(const EndpointChoice& aChoice) const;
  void NotePartPrefill(const EndpointChoice& aChoice);
  /// Count the tokens that an endpoint has to prefill, and remove them again.
  void AddWaiting(const EndpointChoice& aChoice);
  void RemoveWaiting(const EndpointChoice& aChoice);
  /// @param aPart  of which updates are wanted; empty: of none
  void ReportWaiting(const RelayEndpoint& aEndpoint, const std::string& aPart);
  /// Tells the other relays that a part is being prefilled, or was.
  void AnnouncePartReading(const EndpointChoice& aChoice, bool aIsDone);
  void NoteOutcome(const EndpointChoice& aChoice, AttemptOutcome aOutcome);
  /// Reports an attempt that has ended as evidence of a roll-out.
  void NoteRolloutOutcome(const RelayEndpoint& aEndpoint,
                          const AttemptTimes& aTimes,
                          AttemptOutcome aOutcome);
  /// Checks whether an endpoint crashed under the request.
  transport::Task<void> CheckForCrash(const EndpointChoice& aChoice);
  /// Records that an endpoint ran the request without a crash.
  void NoteCompleted(unsigned aStatus);
  void LogSent(const EndpointChoice& aChoice);
  void LogAttempt(const EndpointChoice& aChoice, AttemptOutcome aOutcome);
  /// Logs that an endpoint was silent for too long, and how long each sign of
  /// life is ago.
  void LogSilence(const Attempt& aAttempt);
  /// Logs what showed that a lost run had ended, if anything did.
  void LogRunEnd(const EndpointChoice& aChoice, state::RunEnd aEnd);
  /// Counts how the answer of the last attempt ended.
  void CountAnswerEnd();
  bool MayRetry(AttemptOutcome aOutcome);
  void Finish(Attempt& aAttempt);

  // Attempts whose endpoint is silent.
  AttemptRecord CopyRecord() const;
  void RestoreRecord(const AttemptRecord& aRecord);
  /// Keeps an attempt, with its connection, while others are made.
  ///
  /// @param aOutcome  kSilent or kWithdrawn
  void Suspend(std::unique_ptr<Attempt> aAttempt, AttemptOutcome aOutcome);
  /// Whether the endpoint of a suspended attempt has sent bytes.
  bool HasRevivedAttempt() const;
  /// Takes the suspended attempt whose endpoint has sent bytes; if there is
  /// none, the latest.
  ///
  /// @pre  some are suspended
  std::unique_ptr<SuspendedAttempt> TakeSuspended();
  /// Goes on with an attempt that was suspended.
  transport::Task<AttemptOutcome> Resume(
    std::unique_ptr<SuspendedAttempt> aSuspended);
  /// Ends all suspended attempts.
  void EndSuspended();
  void LogResumed(const Attempt& aAttempt, bool aHasRevived);

  // Continuation from a copy.
  /// Chooses the engine that gets a copy of the run that is about to be sent.
  void PlaceCopy(Attempt& aAttempt);
  /// Whether a stream that was lost at an engine may continue from its copy
  /// once its run there has ended.
  bool MayContinueFromCopy(AttemptOutcome aOutcome) const;
  /// Whether a further run may begin after one that ended so.
  bool HasAttemptAfter(state::RunEnd aEnd) const;
  /// What is known about the end of the latest run.
  state::RunEnd EndOfLatestRun(const RelayEndpoint& aEndpoint);
  /// Queries the engine of a stream with a copy that is silent for too long;
  /// returns whether its run is known to have ended.
  bool HasEndedUnanswered(const Attempt& aAttempt);
  /// Whether such a stream is silent for too long.
  bool IsSilentTooLong(const Attempt& aAttempt) const;
  /// When a request that waits for its answer checks that again.
  state::TimePoint NextSilenceCheck(const Attempt& aAttempt) const;
  /// Waits until it is known whether the latest run has ended.
  transport::Task<state::RunEnd> AwaitRunEnd(EndpointChoice aChoice);
  /// Continues a lost stream from its copy, as long as there is one; returns
  /// the outcome of the last run.
  transport::Task<AttemptOutcome> ContinueFromCopy(EndpointChoice aChoice,
                                                   AttemptOutcome aOutcome);
  EndpointChoice ChoiceOfCopy(const StreamCopy& aCopy) const;
  /// Records the weights that the answer to a copied run names.
  void NoteWeightsOfHead(const Attempt& aAttempt);
  void NoteWeightsOfEvents(std::string_view aEvents);
  /// Logs that a lost stream is not continued because its engine may have
  /// changed its weights.
  void NoteDiscardedCopy(const EndpointChoice& aChoice,
                         AttemptOutcome aOutcome);
  void CountContinued(AttemptOutcome aOutcome);

  // The software version of a stream.
  /// The stream, whichever request began it.
  StreamKey KeyOfStream() const;
  /// Finds where a stream began that the caller resumes; false if that is not
  /// known.
  transport::Task<bool> FindStreamOrigin();
  /// Whether an endpoint may add events to the stream.
  bool IsOfOrigin(const RelayEndpoint& aEndpoint) const;
  /// Whether such an endpoint accepts work and did not get the request.
  bool HasEndpointOfOrigin() const;
  /// Records where a stream began, before its events are forwarded.
  transport::Task<void> RecordStreamOrigin(Attempt& aAttempt);

  // An endpoint's answer.
  transport::Task<AttemptOutcome> ReadAnswer(Attempt& aAttempt);
  /// Parses the received bytes; empty when more are needed first.
  std::optional<transport::ParseStatus> ReadBuffered(Attempt& aAttempt);
  /// Whether a body may consist of events by the type in its head.
  static bool HasEventType(const transport::RelayResponse& aHead);
  /// Whether an answer may continue the stream whose head was forwarded.
  bool MayContinue(const transport::RelayResponse& aHead) const;
  /// Prepares for a body, as its head describes it.
  void BeginBody(Attempt& aAttempt);
  /// Adds the body bytes that were parsed since the last call to those that may
  /// be forwarded; returns false if an event is too long.
  bool ReceiveBody(Attempt& aAttempt);
  /// Whether a body is known to consist of events: it has their type, or a
  /// whole event came, or it has no type and ends with its connection.
  static bool IsOfEvents(const Attempt& aAttempt);
  /// Whether an answer that is complete by its framing, or by the end of its
  /// connection, was cut off by its endpoint; forwards what is whole of it.
  transport::Task<bool> IsCutOff(Attempt& aAttempt);
  /// Evaluates a complete head once; an outcome if the answer is not forwarded.
  std::optional<AttemptOutcome> EvaluateHeadOnce(Attempt& aAttempt,
                                                 transport::ParseStatus aStep);
  /// Applies what an answer advertises, whatever becomes of the answer.
  void ApplyNotice(Attempt& aAttempt);
  /// The same for an answer that came while the run was interrupted.
  void ApplyUnreadNotice(Attempt& aAttempt);
  /// Drops what was parsed of an answer to another request; returns whether
  /// the answer to this one is still awaited.
  bool SkipForeignAnswer(Attempt& aAttempt, bool aIsDone);
  /// Notes a parser's step; returns whether the rest of what it left may be
  /// awaited.
  bool NoteParsed(Attempt& aAttempt,
                  std::size_t aBuffered,
                  std::size_t aConsumed) const;
  std::optional<AttemptOutcome> EvaluateHead(Attempt& aAttempt);
  transport::Task<bool> ForwardBody(Attempt& aAttempt, bool aIsDone);
  transport::Task<bool> ForwardBufferedAnswer(Attempt& aAttempt);
  /// Whether an endpoint's failure, read completely, justifies an attempt at
  /// another.
  bool ShouldRetryFailure(const Attempt& aAttempt) const;
  /// Saves an endpoint's failure for its caller, in case no other does better.
  void SaveFailure(const Attempt& aAttempt);
  std::string BufferedAnswerText(const Attempt& aAttempt);
  transport::Task<bool> ForwardStreamChunk(Attempt& aAttempt, bool aIsDone);
  void HandleAnswerBegun(const Attempt& aAttempt);
  void NoteChunkTime(const RelayEndpoint& aEndpoint);

  // The relay's own answers.
  transport::Task<void> AnswerFailure();
  transport::Task<void> Refuse(unsigned aStatus,
                               std::string_view aReason,
                               std::optional<state::Millis> aRetryAfter = {});
  transport::Task<bool> WriteToCaller(std::string aBytes);
  std::string HeadText(const transport::RelayResponse& aAnswer,
                       std::optional<std::size_t> aLength);
  void AppendConnectionField(std::string& aHeader);
  void CloseCallerConnection();

  void Interrupt(RunInterrupt aReason);
  void ArmDeadline();
  void LogOutcome(std::string_view aOutcome, std::string_view aReason);
  state::TimePoint Now() const { return mCore->mDependencies.mClock.Now(); }
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
  state::RequestDigest mDigest; ///< of the request as its caller sent it
  /// Its entry among the running requests; set while it is served.
  std::optional<RelayCrashes::Running::iterator> mRunningEntry;
  state::TimePoint mLostAt; ///< when the latest attempt was lost
  RequestParts mParts;
  /// Parts of which this request is the relay's trial.
  std::vector<state::RequestDigest> mTrials;
  bool mIsTrial = false; ///< a part was suspected when it was last sent
  /// The answer of the last attempt got past its beginning.
  bool mIsPastBeginning = false;
  RunInterrupt mInterrupt = RunInterrupt::kNone;
  std::shared_ptr<transport::SocketReader> mOpenConnection; ///< to interrupt
  std::vector<std::string> mTriedEndpoints; ///< endpoints that got the request
  AttemptTimes mTimes;                      ///< of the last attempt
  AnswerTrace mAnswerTrace;                 ///< of the last attempt
  std::optional<state::RunInQuestion> mLatestRun; ///< empty: nothing was sent
  /// What is known of its end, which holds once it is known.
  state::RunEnd mLatestEnd = state::RunEnd::kUnknown;
  /// Since when its engine has replied that it does not run it.
  std::optional<state::TimePoint> mAbsentSince;
  std::vector<std::unique_ptr<SuspendedAttempt>> mSuspended;
  int mUnsentTries = 0; ///< endpoints that could not be reached
  int mCrashes = 0;     ///< endpoints that crashed under this run
  bool mMayHaveRun = false;
  bool mIsHeadForwarded = false;
  bool mKeepsConnection = true;
  bool mIsCloseAnnounced = false; ///< by the latest head that was built
  bool mIsAnswerCut = false;
  std::string mSavedFailure; ///< ready to send to the caller
  unsigned mSavedFailureStatus = 0;
  state::StreamPosition mPosition;           ///< after the last event forwarded
  std::optional<StreamOrigin> mStreamOrigin; ///< set by the first event
  /// Of the endpoint that made the last event.
  std::string mLastSoftwareVersion;
  bool mIsOriginRecorded = false;
  unsigned mAnswerStatus = 0;
  std::string mLastProblem;
  /// If it is refused unserved; empty: waiting does not help.
  std::optional<state::Millis> mRetryAfter = kRetrySoon;
  std::vector<ReservedUsage> mReservedUsage; ///< of the team's limit
  std::vector<ReservedUsage> mReservedRetry; ///< of the service's retry pool
  state::TimePoint mRetryReservedAt;
  /// Of the attempt that is about to be sent; null if it is the first.
  state::RetryChargePtr mRetryCharge;
  /// Endpoints at which requests of this run may still arrive.
  std::vector<RelayEndpointPtr> mUnsettledEndpoints;
  std::optional<HeldPermit> mPermit; ///< if the endpoint advertises a rate
  /// Copy of the current run; null if there is none.
  std::unique_ptr<StreamCopy> mCopy;
  VersionFilter mVersions;   ///< of the current attempt
  bool mIsOverLimit = false; ///< the team has used up its limit
};

} // namespace shuntjunction::coordination

#include "shuntjunction/state/claim_machine.h"

#include <boost/json/serialize.hpp>
#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "machine_state.h"

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct CreatedEvent
{};
struct CreateFailedEvent
{};
struct OwnNonceEvent
{};
struct DoneEvent
{};
struct HeldByOtherEvent
{};
struct KeyReusedEvent
{};
struct AbsentEvent
{};
struct TimeoutEvent
{};

struct ClaimDef
  : public msm::front::state_machine_def<ClaimDef>
  , public IgnoresUnhandledEvents
{
  // States.
  using Create = MachineState<ClaimStep::kCreate>;
  using ReadBack = MachineState<ClaimStep::kReadBack>;
  using Execute = MachineState<ClaimStep::kExecute>;
  using Replay = MachineState<ClaimStep::kReplay>;
  using HeldByOther = MachineState<ClaimStep::kHeldByOther>;
  using KeyReused = MachineState<ClaimStep::kKeyReused>;
  using Undecided = MachineState<ClaimStep::kUndecided>;
  using initial_state = Create;

  // clang-format off
  struct transition_table : boost::mpl::vector<
    //  from      event               to
    Row<Create,   CreatedEvent,       Execute>,
    Row<Create,   CreateFailedEvent,  ReadBack>,
    Row<Create,   TimeoutEvent,       Undecided>,
    Row<ReadBack, OwnNonceEvent,      Execute>,
    Row<ReadBack, DoneEvent,          Replay>,
    Row<ReadBack, HeldByOtherEvent,   HeldByOther>,
    Row<ReadBack, KeyReusedEvent,     KeyReused>,
    Row<ReadBack, AbsentEvent,        Create>,
    Row<ReadBack, TimeoutEvent,       Undecided>
  > {};
  // clang-format on

  using IgnoresUnhandledEvents::no_transition;

  ClaimStep mCurrent = ClaimStep::kCreate;
  std::string mNonce;
  std::string mBodyDigest;
  ClaimRecord mExistingRecord;
  bool mMayHaveWritten = false;
};

} // namespace

struct ClaimMachine::Machine : public msm::back::state_machine<ClaimDef>
{};

ClaimMachine::ClaimMachine(std::string aNonce, std::string aBodyDigest)
  : mMachine(std::make_unique<Machine>())
{
  mMachine->mNonce = std::move(aNonce);
  mMachine->mBodyDigest = std::move(aBodyDigest);
  mMachine->start();
}

ClaimMachine::~ClaimMachine() = default;

ClaimStep
ClaimMachine::Step() const
{
  return mMachine->mCurrent;
}

void
ClaimMachine::OnCreateResult(const Result<std::uint64_t>& aRevision)
{
  if (aRevision) {
    mMachine->mMayHaveWritten = true;
    mMachine->process_event(CreatedEvent{});
    return;
  }
  const ErrorCode code = aRevision.error().mCode;
  // Only these two guarantee that nothing was written.
  if (code != ErrorCode::kConflict && code != ErrorCode::kUnavailable) {
    mMachine->mMayHaveWritten = true;
  }
  mMachine->process_event(CreateFailedEvent{});
}

void
ClaimMachine::OnReadResult(const Result<std::optional<ClaimRecord>>& aRecord)
{
  if (!aRecord) {
    return; // Stay in kReadBack: the owner reads again.
  }
  if (!*aRecord) {
    mMachine->process_event(AbsentEvent{});
    return;
  }
  mMachine->mExistingRecord = **aRecord;
  if (mMachine->mExistingRecord.mNonce == mMachine->mNonce) {
    mMachine->process_event(OwnNonceEvent{});
  } else if (mMachine->mExistingRecord.mBodyDigest != mMachine->mBodyDigest) {
    mMachine->process_event(KeyReusedEvent{});
  } else if (mMachine->mExistingRecord.mIsDone) {
    mMachine->process_event(DoneEvent{});
  } else {
    mMachine->process_event(HeldByOtherEvent{});
  }
}

void
ClaimMachine::OnTimeout()
{
  mMachine->process_event(TimeoutEvent{});
}

bool
ClaimMachine::MayHaveWritten() const
{
  return mMachine->mMayHaveWritten;
}

const ClaimRecord&
ClaimMachine::ExistingRecord() const
{
  return mMachine->mExistingRecord;
}

ClaimRecord
ClaimMachine::NewRecord(std::int64_t aNowMillis) const
{
  ClaimRecord record;
  record.mNonce = mMachine->mNonce;
  record.mBodyDigest = mMachine->mBodyDigest;
  record.mCreatedAtMillis = aNowMillis;
  return record;
}

std::string
WriteClaimRecord(const ClaimRecord& aRecord)
{
  boost::json::object object{ { "nonce", aRecord.mNonce },
                              { "digest", aRecord.mBodyDigest },
                              { "at", aRecord.mCreatedAtMillis },
                              { "done", aRecord.mIsDone } };
  if (aRecord.mIsDone) {
    object["status"] = aRecord.mStatus;
    object["contentType"] = aRecord.mContentType;
    object["body"] = aRecord.mBody;
    object["finishReason"] = aRecord.mFinishReason;
    object["tokens"] = aRecord.mTokens;
  }
  return boost::json::serialize(object);
}

Result<ClaimRecord>
ReadClaimRecord(std::string_view aText)
{
  const auto value = ParseJson(aText, "claim");
  if (!value) {
    return tl::unexpected(value.error());
  }
  JsonReader reader(*value, "claim");
  ClaimRecord record;
  record.mNonce = reader.Text("nonce");
  record.mBodyDigest = reader.Text("digest");
  record.mCreatedAtMillis = reader.Integer("at", 0, INT64_MAX);
  record.mIsDone = reader.Flag("done");
  record.mStatus = static_cast<unsigned>(reader.Integer("status", 0, 999, 0));
  record.mContentType = reader.Text("contentType", "");
  record.mBody = reader.Text("body", "");
  record.mFinishReason = reader.Text("finishReason", "");
  record.mTokens =
    static_cast<std::uint32_t>(reader.Integer("tokens", 0, UINT32_MAX, 0));
  if (auto done = reader.Finish(); !done) {
    return tl::unexpected(done.error());
  }
  return record;
}

} // namespace shuntjunction::state

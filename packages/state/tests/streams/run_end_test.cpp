#include <gtest/gtest.h>

#include "shuntjunction/state/streams/run_end.h"

namespace shuntjunction::state {
namespace {

const EndpointIncarnation kIncarnation{ 1000 };
const EndpointIncarnation kOtherIncarnation{ 2000 };
constexpr Millis kMoment{ 1 };
constexpr Millis kLong{ 100000 };

class GivenARunThatWasSent : public ::testing::Test
{
protected:
  /// What a reply shows that was asked for aAfter after the send.
  RunEnd EndAfter(Millis aAfter, const RunsReply& aReply) const
  {
    return EndOfRun(mRun, aReply, mRun.mSentAt + aAfter);
  }

  static RunsReply ReplyOf(RunsReplyKind aKind)
  {
    RunsReply reply;
    reply.mKind = aKind;
    return reply;
  }

  static RunsReply RunsOf(std::vector<std::string> aIds,
                          EndpointIncarnation aIncarnation = kIncarnation)
  {
    auto reply = ReplyOf(RunsReplyKind::kRuns);
    reply.mIncarnation = aIncarnation;
    reply.mRequestIds = std::move(aIds);
    return reply;
  }

  /// Takes a reply that was asked for aAfter after the send.
  void Note(Millis aAfter, const RunsReply& aReply)
  {
    mRun.NoteReply(aReply, mRun.mSentAt + aAfter);
  }

  RunInQuestion mRun{ "r1", TimePoint(Millis(50000)), {} };
};

TEST_F(GivenARunThatWasSent, AReplyThatWasAskedBeforeTheSendShowsNothing)
{
  for (const auto kind : { RunsReplyKind::kNone,
                           RunsReplyKind::kRefused,
                           RunsReplyKind::kOther,
                           RunsReplyKind::kRuns }) {
    SCOPED_TRACE(kRunsReplyKindNames.Name(kind));
    EXPECT_EQ(EndAfter(-kMoment, ReplyOf(kind)), RunEnd::kUnknown);
  }
  EXPECT_EQ(EndAfter(-kMoment, RunsOf({}, kOtherIncarnation)),
            RunEnd::kUnknown);
}

TEST_F(GivenARunThatWasSent, NoReplyShowsNothingHoweverLate)
{
  const auto none = ReplyOf(RunsReplyKind::kNone);
  EXPECT_EQ(EndAfter(Millis(0), none), RunEnd::kUnknown);
  EXPECT_EQ(EndAfter(kLong, none), RunEnd::kUnknown);
}

TEST_F(GivenARunThatWasSent, ARefusalShowsItsEnd)
{
  EXPECT_EQ(EndAfter(Millis(0), ReplyOf(RunsReplyKind::kRefused)),
            RunEnd::kRefused);
}

TEST_F(GivenARunThatWasSent, TheReplyOfAnotherEndpointShowsItsEnd)
{
  EXPECT_EQ(EndAfter(Millis(0), ReplyOf(RunsReplyKind::kOther)),
            RunEnd::kReplaced);
}

// It may have been unread or queued, or the reply be from before a standstill.
TEST_F(GivenARunThatWasSent, ItsAbsenceShowsNothingBeforeItWasListed)
{
  EXPECT_EQ(EndAfter(Millis(0), RunsOf({})), RunEnd::kUnknown);
  EXPECT_EQ(EndAfter(kLong, RunsOf({ "r2", "r11" })), RunEnd::kUnknown);
}

// The relay may not have known of a restart when it sent the request.
TEST_F(GivenARunThatWasSent, NoIncarnationIsAnotherBeforeItWasListed)
{
  EXPECT_EQ(EndAfter(kLong, RunsOf({}, kOtherIncarnation)), RunEnd::kUnknown);
  EXPECT_EQ(EndAfter(kLong, RunsOf({ "r1" }, kOtherIncarnation)),
            RunEnd::kUnknown);
}

TEST_F(GivenARunThatWasSent, AReplyFromBeforeTheSendDoesNotCountAsListingIt)
{
  Note(-kMoment, RunsOf({ "r1" }));
  EXPECT_EQ(EndAfter(kLong, RunsOf({})), RunEnd::kUnknown);
}

TEST_F(GivenARunThatWasSent, AReplyThatIsNoListDoesNotCountAsListingIt)
{
  auto reply = RunsOf({ "r1" });
  reply.mKind = RunsReplyKind::kNone;
  Note(kMoment, reply);
  EXPECT_EQ(EndAfter(kLong, RunsOf({})), RunEnd::kUnknown);
}

class ThatItsEngineListed : public GivenARunThatWasSent
{
protected:
  ThatItsEngineListed() { Note(kMoment, RunsOf({ "r2", "r1" })); }

  RunEnd End(const RunsReply& aReply) const { return EndAfter(kLong, aReply); }
};

TEST_F(ThatItsEngineListed, ItsAbsenceShowsItsEnd)
{
  EXPECT_EQ(End(RunsOf({})), RunEnd::kNotRunning);
  EXPECT_EQ(End(RunsOf({ "r2", "r11" })), RunEnd::kNotRunning);
}

TEST_F(ThatItsEngineListed, ItRunsWhileItIsListed)
{
  EXPECT_EQ(End(RunsOf({ "r1" })), RunEnd::kUnknown);
  EXPECT_EQ(End(RunsOf({ "r2", "r1" })), RunEnd::kUnknown);
}

TEST_F(ThatItsEngineListed, ItMayBeAmongTheRequestsThatWait)
{
  auto reply = RunsOf({});
  reply.mQueued = 1;
  EXPECT_EQ(End(reply), RunEnd::kUnknown);
}

TEST_F(ThatItsEngineListed, AnotherIncarnationShowsItsEnd)
{
  EXPECT_EQ(End(RunsOf({}, kOtherIncarnation)), RunEnd::kReplaced);
  auto reply = RunsOf({}, kOtherIncarnation);
  reply.mQueued = 1;
  EXPECT_EQ(End(reply), RunEnd::kReplaced);
}

TEST_F(ThatItsEngineListed, AnUnknownIncarnationIsNoOther)
{
  EXPECT_EQ(End(RunsOf({}, {})), RunEnd::kNotRunning);
  auto reply = RunsOf({}, {});
  reply.mQueued = 1;
  EXPECT_EQ(End(reply), RunEnd::kUnknown);
}

TEST_F(ThatItsEngineListed, WhoeverListsItRunsIt)
{
  EXPECT_EQ(End(RunsOf({ "r1" }, kOtherIncarnation)), RunEnd::kUnknown);
}

class OfAnEngineWithoutIncarnations : public GivenARunThatWasSent
{
protected:
  OfAnEngineWithoutIncarnations() { Note(kMoment, RunsOf({ "r1" }, {})); }
};

TEST_F(OfAnEngineWithoutIncarnations, ItsAbsenceShowsItsEndAfterItWasListed)
{
  EXPECT_EQ(EndAfter(kLong, RunsOf({}, {})), RunEnd::kNotRunning);
  EXPECT_EQ(EndAfter(kLong, RunsOf({})), RunEnd::kNotRunning);
}

} // namespace
} // namespace shuntjunction::state

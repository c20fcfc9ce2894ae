#include <gtest/gtest.h>

#include "shuntjunction/state/streams/run_end.h"

namespace shuntjunction::state {
namespace {

const EndpointIncarnation kIncarnation{ 1000 };
const EndpointIncarnation kOtherIncarnation{ 2000 };
constexpr Millis kMoment{ 1 };

class GivenARunThatWasSent : public ::testing::Test
{
protected:
  /// What a reply shows that was asked for aAfter after the send.
  RunEnd EndAfter(Millis aAfter, const RunsReply& aReply) const
  {
    return EndOfRun(mRun, aReply, mRun.mSentAt + aAfter, mSettings);
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

  const RunEndSettings mSettings;
  const Millis mLag = mSettings.mMaxReplyLag;
  RunInQuestion mRun{ "r1", kIncarnation, TimePoint(Millis(50000)), {} };
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
  EXPECT_EQ(EndAfter(100 * mLag, none), RunEnd::kUnknown);
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

TEST_F(GivenARunThatWasSent, TheReplyOfAnotherIncarnationShowsItsEnd)
{
  EXPECT_EQ(EndAfter(Millis(0), RunsOf({}, kOtherIncarnation)),
            RunEnd::kReplaced);
}

TEST_F(GivenARunThatWasSent, AnUnknownIncarnationIsNoOther)
{
  {
    SCOPED_TRACE("of the reply");
    EXPECT_EQ(EndAfter(Millis(0), RunsOf({}, {})), RunEnd::kUnknown);
  }
  mRun.mIncarnation = {};
  {
    SCOPED_TRACE("of the run");
    EXPECT_EQ(EndAfter(Millis(0), RunsOf({})), RunEnd::kUnknown);
  }
  {
    SCOPED_TRACE("of both");
    EXPECT_EQ(EndAfter(Millis(0), RunsOf({}, {})), RunEnd::kUnknown);
  }
}

TEST_F(GivenARunThatWasSent, ItsAbsenceShowsNothingBeforeAnyByteCame)
{
  EXPECT_EQ(EndAfter(Millis(0), RunsOf({})), RunEnd::kUnknown);
  EXPECT_EQ(EndAfter(100 * mLag, RunsOf({})), RunEnd::kUnknown);
}

class OfWhichBytesCame : public GivenARunThatWasSent
{
protected:
  OfWhichBytesCame() { mRun.mBegunAt = mRun.mSentAt + kBegunAfter; }

  static constexpr Millis kBegunAfter{ 300 };
};

TEST_F(OfWhichBytesCame, ItsAbsenceShowsNothingWithinTheLag)
{
  EXPECT_EQ(EndAfter(Millis(0), RunsOf({})), RunEnd::kUnknown);
  EXPECT_EQ(EndAfter(kBegunAfter, RunsOf({})), RunEnd::kUnknown);
  EXPECT_EQ(EndAfter(kBegunAfter + mLag - kMoment, RunsOf({})),
            RunEnd::kUnknown);
}

class LongerAgoThanAReplyLags : public OfWhichBytesCame
{
protected:
  RunEnd End(const RunsReply& aReply) const
  {
    return EndAfter(kBegunAfter + mLag, aReply);
  }
};

TEST_F(LongerAgoThanAReplyLags, ItsAbsenceShowsItsEnd)
{
  EXPECT_EQ(End(RunsOf({})), RunEnd::kNotRunning);
  EXPECT_EQ(End(RunsOf({ "r2", "r11" })), RunEnd::kNotRunning);
}

TEST_F(LongerAgoThanAReplyLags, ItRunsWhileItIsListed)
{
  EXPECT_EQ(End(RunsOf({ "r1" })), RunEnd::kUnknown);
  EXPECT_EQ(End(RunsOf({ "r2", "r1" })), RunEnd::kUnknown);
}

TEST_F(LongerAgoThanAReplyLags, ItMayBeAmongTheRequestsThatWait)
{
  auto reply = RunsOf({});
  reply.mQueued = 1;
  EXPECT_EQ(End(reply), RunEnd::kUnknown);
}

TEST_F(LongerAgoThanAReplyLags, ItsAbsenceShowsItsEndWithoutIncarnations)
{
  EXPECT_EQ(End(RunsOf({}, {})), RunEnd::kNotRunning);
}

TEST_F(LongerAgoThanAReplyLags, AnotherIncarnationShowsItsEndWhateverItLists)
{
  auto reply = RunsOf({ "r1" }, kOtherIncarnation);
  reply.mQueued = 1;
  EXPECT_EQ(End(reply), RunEnd::kReplaced);
}

} // namespace
} // namespace shuntjunction::state

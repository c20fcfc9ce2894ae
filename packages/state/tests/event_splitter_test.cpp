#include "shuntjunction/state/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "shuntjunction/state/json_text_checker.h"

// Tests what shows that a body has ended: whole events, a whole JSON text.

namespace shuntjunction::state {
namespace {

using namespace std::string_view_literals;

/// A text with other line ends than LF.
std::string
WithLineEnds(std::string_view aText, std::string_view aEnd)
{
  std::string text;
  for (const char byte : aText) {
    text += byte == '\n' ? aEnd : std::string_view(&byte, 1);
  }
  return text;
}

class GivenAStreamOfEvents : public ::testing::Test
{
protected:
  EventSplitter mSplitter;
};

TEST_F(GivenAStreamOfEvents, WholeEventsAreReturnedWithTheirLineEnds)
{
  for (const std::string end : { "\n", "\r\n", "\r" }) {
    SCOPED_TRACE(end);
    EventSplitter splitter;
    const std::string first = WithLineEnds("id: 7\ndata: a\n\n", end);
    EXPECT_EQ(splitter.Put(first + WithLineEnds("data: b\n", end)), first);
    EXPECT_TRUE(splitter.IsInsideEvent());
    EXPECT_EQ(splitter.Position().mLastEventId, "7");
    EXPECT_EQ(splitter.Put(end), WithLineEnds("data: b\n\n", end));
    EXPECT_FALSE(splitter.IsInsideEvent());
  }
}

TEST_F(GivenAStreamOfEvents, ACommentBetweenEventsIsReturnedAtItsLineEnd)
{
  EXPECT_EQ(mSplitter.Put(": still here\n: and"), ": still here\n");
  EXPECT_TRUE(mSplitter.IsInsideEvent());
  EXPECT_EQ(mSplitter.Put("\n"), ": and\n");
  EXPECT_FALSE(mSplitter.IsInsideEvent());
}

TEST_F(GivenAStreamOfEvents, TheIdOfAnIncompleteEventDoesNotCount)
{
  mSplitter.Put("id: 1\n\nid: 2\n");
  EXPECT_EQ(mSplitter.Position().mLastEventId, "1");
}

TEST_F(GivenAStreamOfEvents, AnEventWithoutAnIdKeepsTheLast)
{
  mSplitter.Put("id:1\n\ndata: x\n\nid: \0\n\n"sv);
  EXPECT_EQ(mSplitter.Position().mLastEventId, "1");
  mSplitter.Put("id\n\n");
  EXPECT_EQ(mSplitter.Position().mLastEventId, "");
}

TEST_F(GivenAStreamOfEvents, AFurtherConnectionStartsAfterTheLastEvent)
{
  mSplitter.Put("id: 1\ndata: x\n\nid: 2\nda");
  EventSplitter next(mSplitter.Position());
  for (const std::string_view part : { "", ": comment\n", "id: 2\ndata: y" }) {
    SCOPED_TRACE(part);
    next.Put(part);
    EXPECT_EQ(next.Position(), (StreamPosition{ "1", true }));
  }
  next.Put("\n\n");
  EXPECT_EQ(next.Position(), (StreamPosition{ "2", true }));
}

TEST_F(GivenAStreamOfEvents, AnEventThatNoIdNamesMakesThePositionInexact)
{
  EXPECT_TRUE(mSplitter.Position().mIsExact);
  mSplitter.Put("id: 1\ndata: x\n\nretry: 100\n\nevent: ping\n\n");
  EXPECT_TRUE(mSplitter.Position().mIsExact);
  {
    SCOPED_TRACE("data without an id");
    mSplitter.Put("data: y\n\n");
    EXPECT_FALSE(mSplitter.Position().mIsExact);
    mSplitter.Put("id: 2\ndata: z\n\n");
    EXPECT_TRUE(mSplitter.Position().mIsExact);
  }
  {
    SCOPED_TRACE("an id that is reset");
    mSplitter.Put("id:\ndata: z\n\n");
    EXPECT_EQ(mSplitter.Position(), (StreamPosition{ "", false }));
  }
}

// Guards against a stream that is resumed at an id which its request can't
// carry.
TEST_F(GivenAStreamOfEvents, AnIdThatNoFieldCarriesMakesThePositionInexact)
{
  for (const char* id : { "1\x01", "\x7f", " 1", "1 ", "1\t" }) {
    mSplitter.Put("id: " + std::string(id) + "\ndata: x\n\n");
    EXPECT_FALSE(mSplitter.Position().mIsExact) << id;
    mSplitter.Put("id: a b\ndata: x\n\n");
    EXPECT_TRUE(mSplitter.Position().mIsExact) << id;
  }
}

TEST_F(GivenAStreamOfEvents, DataThatLooksLikeAnIdIsNone)
{
  mSplitter.Put("id: 1\ndata: x id: 5\nidle: 6\n\n");
  EXPECT_EQ(mSplitter.Position().mLastEventId, "1");
}

TEST_F(GivenAStreamOfEvents, ATextWithoutKnownFieldsHoldsNoEvents)
{
  mSplitter.Put("a paragraph\n\nhref: x\n\n");
  EXPECT_FALSE(mSplitter.HasEvents());
  mSplitter.Put("data: x\n\n");
  EXPECT_TRUE(mSplitter.HasEvents());
}

TEST_F(GivenAStreamOfEvents, TheDataOfAnEventIsThatOfAllItsDataLines)
{
  EXPECT_EQ(EventData(": note\nid: 1\ndata: a\ndata:b\nevent: x"), "a\nb");
  EXPECT_EQ(EventData(": note\nid: 1"), "");
}

TEST_F(GivenAStreamOfEvents, ThePendingBytesAreThoseOfWhatHasNotEnded)
{
  const std::string line(1000, 'x');
  mSplitter.Put("data: a\n\n");
  EXPECT_EQ(mSplitter.PendingBytes(), 0U);
  mSplitter.Put(line);
  mSplitter.Put("\n" + line);
  EXPECT_EQ(mSplitter.PendingBytes(), 2001U);
  mSplitter.Put("\n\n");
  EXPECT_EQ(mSplitter.PendingBytes(), 0U);
}

TEST_F(GivenAStreamOfEvents, LineEndsAreUnified)
{
  EXPECT_EQ(UnifyLineEnds("a\r\nb\rc\nd\r"), "a\nb\nc\nd\n");
}

/// Any text over the bytes that the format treats specially.
rc::Gen<std::string>
Streams()
{
  return rc::gen::container<std::string>(
    rc::gen::element('\n', '\r', ':', 'i', 'd', ' ', 'x'));
}

RC_GTEST_PROP(GeneratedEventStreams,
              TheSplitDoesNotDependOnHowTheBytesArrive,
              ())
{
  const auto text = *Streams();
  EventSplitter whole;
  const auto expected = whole.Put(text);
  EventSplitter parts;
  std::string received;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 5);
    received += parts.Put(std::string_view(text).substr(at, size));
    at += size;
  }
  RC_ASSERT(received == expected);
  RC_ASSERT(parts.IsInsideEvent() == whole.IsInsideEvent());
  RC_ASSERT(parts.Position() == whole.Position());
}

RC_GTEST_PROP(GeneratedEventStreams, WhatIsReturnedEndsOutsideOfEvents, ())
{
  const auto text = *Streams();
  EventSplitter splitter;
  const auto events = splitter.Put(text);
  RC_ASSERT(text.starts_with(events));
  RC_ASSERT(splitter.IsInsideEvent() == (events.size() < text.size()));
  EventSplitter again;
  RC_ASSERT(again.Put(events) == events);
  RC_ASSERT(!again.IsInsideEvent());
}

class GivenAJsonText : public ::testing::Test
{
protected:
  static bool IsTruncated(std::string_view aText)
  {
    JsonTextChecker checker;
    for (const char byte : aText) {
      checker.Put({ &byte, 1 });
    }
    return checker.IsTruncated();
  }
};

TEST_F(GivenAJsonText, EachBeginningOfAnObjectIsTruncated)
{
  const std::string text = R"({"a": [1, {"b": "c\n"}], "d": null})";
  EXPECT_FALSE(IsTruncated(text));
  EXPECT_FALSE(IsTruncated(text + "\r\n"));
  for (std::size_t size = 0; size < text.size(); ++size) {
    EXPECT_TRUE(IsTruncated(text.substr(0, size))) << size;
  }
}

TEST_F(GivenAJsonText, OfATextThatIsNoJsonNothingIsKnown)
{
  EXPECT_FALSE(IsTruncated("<html>"));
  EXPECT_FALSE(IsTruncated("{} {}"));
}

} // namespace
} // namespace shuntjunction::state

#include <gtest/gtest.h>

#include "shuntjunction/state/retry_after.h"

// Parsing of the Retry-After field of a refusal.

namespace shuntjunction::state {

namespace {

constexpr std::string_view kDate = "Sun, 06 Nov 1994 08:49:37 GMT";
constexpr std::int64_t kDateMillis = 784111777000;

} // namespace

TEST(GivenARetryAfterField, WholeAndDecimalSecondsAreDelays)
{
  EXPECT_EQ(ReadRetryAfter("3").From(0), Millis(3000));
  EXPECT_EQ(ReadRetryAfter("0.25").From(0), Millis(250));
  EXPECT_EQ(ReadRetryAfter("0").From(0), Millis(0));
}

TEST(GivenARetryAfterField, AFractionOfAMillisecondIsRoundedUp)
{
  EXPECT_EQ(ReadRetryAfter("0.0001").From(0), Millis(1));
}

TEST(GivenARetryAfterField, ADateIsTheTimeThatIsLeftUntilThen)
{
  const auto date = ReadRetryAfter(kDate);
  ASSERT_EQ(date.mForm, RetryAfterForm::kDate);
  EXPECT_EQ(date.From(kDateMillis - 2500), Millis(2500));
}

TEST(GivenARetryAfterField, APastDateRequestsNoDelay)
{
  EXPECT_EQ(ReadRetryAfter(kDate).From(kDateMillis + 1), Millis(0));
}

TEST(GivenARetryAfterField, AnExcessiveDelayIsCapped)
{
  EXPECT_EQ(ReadRetryAfter("1e12").From(0), kLongestRetryAfter);
  EXPECT_EQ(ReadRetryAfter("99999999999999999999").From(0), kLongestRetryAfter);
  EXPECT_EQ(ReadRetryAfter(kDate).From(0), kLongestRetryAfter);
}

TEST(GivenARetryAfterField, InvalidValuesRequestNoDelay)
{
  for (const auto* text : { "",
                            " ",
                            "-1",
                            "-0",
                            "nan",
                            "inf",
                            "1e999",
                            "3s",
                            "3, 4",
                            "soon",
                            "Sunday, 06-Nov-94 08:49:37 GMT",
                            "Sun, 06 Nov 1994 08:49:37 GMT or later" }) {
    SCOPED_TRACE(text);
    const auto read = ReadRetryAfter(text);
    EXPECT_EQ(read.mForm, RetryAfterForm::kUnreadable);
    EXPECT_EQ(read.From(0), Millis(0));
  }
}

} // namespace shuntjunction::state

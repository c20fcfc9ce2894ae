#include "shuntjunction/coordination/status_writer.h"

#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

constexpr Millis kMaxDelay{ 2000 };
constexpr Millis kRetryDelay{ 3000 };

} // namespace

StatusWriter::StatusWriter(boost::asio::io_context& aContext,
                           Platform& aPlatform,
                           const std::string& aName)
  : mContext(aContext)
  , mPlatform(aPlatform)
  , mKey(std::string(kStatusPrefix) + aName)
  , mRandom(state::PlacementHash(state::RandomNonce()))
  , mWake(aContext)
  , mLog("status")
{
}

void
StatusWriter::Start()
{
  transport::Spawn(mContext, RunLoop());
}

void
StatusWriter::Set(std::string aText)
{
  if (mLatest != aText) {
    mLatest = std::move(aText);
    mWake.cancel();
  }
}

Task<void>
StatusWriter::RunLoop()
{
  std::uniform_int_distribution<std::int64_t> delay(0, kMaxDelay.count());
  while (true) {
    while (mLatest == mWritten) {
      mWake.expires_at(state::TimePoint::max());
      co_await mWake.async_wait(transport::kAsTuple);
    }
    co_await transport::Sleep(Millis(delay(mRandom)));
    const std::string text = mLatest;
    if (co_await WriteOnce(text)) {
      mWritten = text;
    } else {
      co_await transport::Sleep(kRetryDelay);
    }
  }
}

Task<bool>
StatusWriter::WriteOnce(std::string aText)
{
  const auto written =
    co_await mPlatform.Write(mKey, std::move(aText), mRevision);
  if (written) {
    mRevision = *written;
    co_return true;
  }
  // The object was written before a restart of this instance, or the response
  // was lost: read its revision for the next attempt.
  const auto found = co_await mPlatform.Read(mKey);
  if (found) {
    mRevision = *found ? (*found)->mRevision : 0;
  } else {
    mLog.Debug("cannot write the status: " + found.error().Describe() + ".");
  }
  co_return false;
}

} // namespace shuntjunction::coordination

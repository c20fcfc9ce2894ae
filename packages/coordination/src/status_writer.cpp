#include "shuntjunction/coordination/status_writer.h"

#include "shuntjunction/state/digest.h"
#include "shuntjunction/state/prefix_chain.h"

namespace shuntjunction::coordination {

using state::Millis;
using transport::Task;

namespace {

constexpr Millis kMaxPause{ 2000 };
constexpr Millis kRetryPause{ 3000 };

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
  transport::Spawn(mContext, Follow());
}

void
StatusWriter::Set(std::string aText)
{
  if (mWanted != aText) {
    mWanted = std::move(aText);
    mWake.cancel();
  }
}

Task<void>
StatusWriter::Follow()
{
  std::uniform_int_distribution<std::int64_t> pause(0, kMaxPause.count());
  while (true) {
    while (mWanted == mWritten) {
      mWake.expires_at(state::TimePoint::max());
      co_await mWake.async_wait(transport::kAsTuple);
    }
    co_await transport::Sleep(Millis(pause(mRandom)));
    const std::string text = mWanted;
    if (co_await WriteOnce(text)) {
      mWritten = text;
    } else {
      co_await transport::Sleep(kRetryPause);
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
  // An earlier life of this instance wrote it, or an answer was lost.
  const auto found = co_await mPlatform.Read(mKey);
  if (found) {
    mRevision = *found ? (*found)->mRevision : 0;
  } else {
    mLog.Debug("not written: " + found.error().Describe() + ".");
  }
  co_return false;
}

} // namespace shuntjunction::coordination

#include "shuntjunction/coordination/memory_probe.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

namespace shuntjunction::coordination {

namespace {

/// Resident pages less those of files, the second and third number of
/// /proc/self/statm; 0 if they are missing.
std::int64_t
AnonymousPages(const char* aText)
{
  std::int64_t size = 0;
  std::int64_t resident = 0;
  std::int64_t ofFiles = 0;
  const int found = std::sscanf(
    aText, "%" SCNd64 " %" SCNd64 " %" SCNd64, &size, &resident, &ofFiles);
  return found == 3 ? std::max<std::int64_t>(0, resident - ofFiles) : 0;
}

} // namespace

ProcessMemoryProbe::ProcessMemoryProbe()
  : mFile(::open("/proc/self/statm", O_RDONLY | O_CLOEXEC))
  , mPageBytes(::sysconf(_SC_PAGESIZE))
{
}

ProcessMemoryProbe::~ProcessMemoryProbe()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
}

MemoryUsage
ProcessMemoryProbe::Measure() const
{
  MemoryUsage usage;
  std::array<char, 128> text{};
  const auto size =
    mFile >= 0 ? ::pread(mFile, text.data(), text.size() - 1, 0) : -1;
  if (size > 0) {
    usage.mResident = AnonymousPages(text.data()) * mPageBytes;
  }
  const auto heap = ::mallinfo2();
  usage.mUsedHeap = static_cast<std::int64_t>(heap.uordblks + heap.hblkhd);
  usage.mFreeHeap = static_cast<std::int64_t>(heap.fordblks);
  return usage;
}

} // namespace shuntjunction::coordination

#pragma once

#include <cstdint>

/// Measurement of the memory that this process uses.
namespace shuntjunction::coordination {

/// Memory of a process, in bytes.
struct MemoryUsage
{
  /// Resident pages that belong to no file, which is what a limit counts, since
  /// pages of files can be dropped at any time; 0: unknown.
  std::int64_t mResident = 0;
  std::int64_t mUsedHeap = 0; ///< allocated
  std::int64_t mFreeHeap = 0; ///< held by the allocator, not allocated
};

/// Measures the memory of this process.
///
/// Thread safety: all methods may be called from any thread.
class MemoryProbe
{
public:
  virtual ~MemoryProbe() = default;

  /// Memory at this moment; costs one system call.
  virtual MemoryUsage Measure() const = 0;
};

/// Measures through /proc and the C library's allocator.
class ProcessMemoryProbe final : public MemoryProbe
{
public:
  ProcessMemoryProbe();
  ~ProcessMemoryProbe() override;
  ProcessMemoryProbe(const ProcessMemoryProbe&) = delete;
  ProcessMemoryProbe& operator=(const ProcessMemoryProbe&) = delete;

  MemoryUsage Measure() const override;

private:
  int mFile;
  std::int64_t mPageBytes;
};

} // namespace shuntjunction::coordination

#pragma once

#include <string>
#include <vector>

/// Child processes, which are signalled only by their own process id.
namespace shuntjunction::standins {

/// Command line, environment and output files of a child process.
struct ChildCommand
{
  std::vector<std::string> mArguments;   ///< program, then its arguments
  std::vector<std::string> mEnvironment; ///< additional "NAME=value"
  std::string mStderrFile;               ///< opened for appending
  std::string mStdoutFile; ///< as mStderrFile; if empty, see FirstLine()
};

/// A running child process; the destructor kills it.
///
/// Thread safety: none.
class ChildProcess
{
public:
  /// Starts a program. On failure, kills all children and aborts with a
  /// message.
  explicit ChildProcess(const ChildCommand& aCommand);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  int Pid() const { return mPid; }

  /// First line of standard output; empty if the output goes to a file.
  const std::string& FirstLine() const { return mFirstLine; }

  /// Sends a signal unless the process has exited.
  void Signal(int aSignal);

  /// Polls whether the process has exited.
  bool HasExited();

  /// Waits for the process; returns its exit code, or minus the signal number
  /// that killed it.
  int WaitForExit();

private:
  void RecordExit(int aStatus);

  int mPid = 0;
  std::string mFirstLine;
  bool mHasExited = false;
  int mExitCode = 0;
};

/// Prints a message, kills all running children and aborts.
///
/// The children would otherwise outlive this process.
[[noreturn]] void
KillChildrenAndAbort(const std::string& aText);

} // namespace shuntjunction::standins

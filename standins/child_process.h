#pragma once

#include <string>
#include <vector>

/// Programs that this process starts, signals and ends, by their ids.
namespace shuntjunction::standins {

/// What to start, and where its output goes.
struct ChildCommand
{
  std::vector<std::string> mWords;       ///< program and its arguments
  std::vector<std::string> mEnvironment; ///< further "NAME=value"
  std::string mErrorFile;                ///< appended to
  std::string mOutputFile; ///< appended to; empty: its first line is read
};

/// A program that was started; ended at once when destroyed.
///
/// Thread safety: none.
class ChildProcess
{
public:
  /// Starts a program; one that cannot be started ends this program with a
  /// message, after all that it has started.
  explicit ChildProcess(const ChildCommand& aCommand);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  int Pid() const { return mPid; }

  /// What it printed first; empty when its output goes to a file.
  const std::string& FirstLine() const { return mFirstLine; }

  /// Sends a signal, unless it has ended.
  void Signal(int aSignal);

  /// Whether it has ended by now.
  bool HasExited();

  /// Waits for its end; its exit code, or minus its signal.
  int WaitForExit();

private:
  void NoteEnd(int aStatus);

  int mPid = 0;
  std::string mFirstLine;
  bool mHasExited = false;
  int mExit = 0;
};

/// Ends this program with a message, and before it all that it has started:
/// nobody else would.
[[noreturn]] void
KillChildrenAndAbort(const std::string& aText);

} // namespace shuntjunction::standins

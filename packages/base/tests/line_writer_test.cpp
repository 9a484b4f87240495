#include "skylarkwind/line_writer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <thread>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class line_writer_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(line_writer_test);
  CPPUNIT_TEST(FullQueueDropsLinesAndSaysSo);
  CPPUNIT_TEST(RateIsBounded);
  CPPUNIT_TEST(LinesWaitForASlowReader);
  CPPUNIT_TEST(FlushIsBounded);
  CPPUNIT_TEST(FlushStatesDrops);
  CPPUNIT_TEST(UrgentLinesHaveAReserve);
  CPPUNIT_TEST(PartialWriteKeepsLinesWhole);
  CPPUNIT_TEST(ClosedReaderDoesNotHoldUpFlush);
  CPPUNIT_TEST_SUITE_END();

  static constexpr line_writer_settings kNoRateLimit{ 1e9, 1e9 };

  int mEnds[2]{};
  system_clock_source mClock;

public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe2(mEnds, O_CLOEXEC)); }
  void tearDown() override
  {
    close(mEnds[0]);
    CloseWriteEnd();
  }

private:
  void CloseWriteEnd()
  {
    if (mEnds[1] >= 0) {
      close(mEnds[1]);
      mEnds[1] = -1;
    }
  }

  /// Reads until the write end is closed.
  std::string ReadToEnd() const
  {
    std::string text;
    std::string part(1 << 16, '\0');
    for (;;) {
      const auto count = read(mEnds[0], part.data(), part.size());
      if (count <= 0) {
        return text;
      }
      text.append(part, 0, static_cast<std::size_t>(count));
    }
  }

  /// What a reader receives that starts when the writer is flushed.
  std::string FlushToReader(line_writer& aWriter)
  {
    std::string text;
    std::thread reader{ [&] { text = ReadToEnd(); } };
    const bool flushed = aWriter.Flush(seconds{ 20 }, mClock);
    CloseWriteEnd();
    reader.join();
    CPPUNIT_ASSERT(flushed);
    return text;
  }

  /// A line of a thousand bytes that differs from the others.
  static std::string Line(std::size_t aNumber)
  {
    auto line = std::to_string(aNumber) + ' ';
    line.resize(1'000, 'x');
    return line;
  }
  static std::string Lines(std::size_t aCount)
  {
    std::string text;
    for (std::size_t i = 0; i < aCount; ++i) {
      text += Line(i) + '\n';
    }
    return text;
  }

  /// Guards against a daemon that stands still because nobody reads its log, or keeps it all in
  /// memory, and against drops of which the log says nothing.
  void FullQueueDropsLinesAndSaysSo()
  {
    line_writer writer{ mEnds[1], kNoRateLimit };
    constexpr std::size_t kCount = 500;
    for (std::size_t i = 0; i < kCount; ++i) {
      writer.Write(Line(i), instant{ seconds{ i } });
    }
    const auto dropped = writer.Dropped();
    CPPUNIT_ASSERT(dropped > 0 && dropped < kCount);
    // Makes room for one line more than the pipe takes.
    std::string first(1 << 16, '\0');
    const auto count = read(mEnds[0], first.data(), first.size());
    CPPUNIT_ASSERT(count > 0);
    first.resize(static_cast<std::size_t>(count));
    writer.Write("after", instant{ seconds{ 600 } });
    CPPUNIT_ASSERT_EQUAL(dropped, writer.Dropped());
    CPPUNIT_ASSERT_EQUAL(Lines(kCount - dropped) + "log: dropped=" + std::to_string(dropped) +
                           " lines\nafter\n",
                         first + FlushToReader(writer));
  }

  void RateIsBounded()
  {
    line_writer writer{ mEnds[1], { 10, 20 } };
    const instant now{ seconds{ 100 } };
    for (int i = 0; i < 100; ++i) {
      writer.Write("l", now);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 80 }, writer.Dropped());
    writer.Write("l", now + seconds{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 80 }, writer.Dropped());
  }

  /// Guards against lines that are lost because the reader was behind at that moment: after a stop
  /// nobody could tell a request without an end from a lost line (incident of LOST around SIGTERM).
  void LinesWaitForASlowReader()
  {
    line_writer writer{ mEnds[1], kNoRateLimit };
    constexpr std::size_t kCount = 150; // more than a pipe holds
    for (std::size_t i = 0; i < kCount; ++i) {
      writer.Write(Line(i), instant{ seconds{ i } });
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, writer.Dropped());
    CPPUNIT_ASSERT(Lines(kCount) == FlushToReader(writer));
  }

  /// Guards against an exit that waits for a reader without end.
  void FlushIsBounded()
  {
    line_writer writer{ mEnds[1], kNoRateLimit };
    for (std::size_t i = 0; i < 150; ++i) {
      writer.Write(Line(i), instant{ seconds{ i } });
    }
    const auto began = mClock.Now();
    CPPUNIT_ASSERT(!writer.Flush(milliseconds{ 50 }, mClock));
    CPPUNIT_ASSERT(mClock.Now() - began >= milliseconds{ 50 });
    CPPUNIT_ASSERT(mClock.Now() - began < seconds{ 2 });
  }

  /// Guards against drops that are not stated because no line follows them.
  void FlushStatesDrops()
  {
    line_writer writer{ mEnds[1], { 10, 1 } };
    writer.Write("first", instant{ seconds{ 1 } });
    writer.Write("second", instant{ seconds{ 1 } });
    CPPUNIT_ASSERT_EQUAL(std::string{ "first\nlog: dropped=1 lines\n" }, FlushToReader(writer));
  }

  /// Guards against lines of a stop or an error that are lost because those of requests have used
  /// up the rate or the queue.
  void UrgentLinesHaveAReserve()
  {
    line_writer_settings settings{ 10, 20 };
    settings.mUrgentBurst = 5;
    const instant now{ seconds{ 100 } };
    line_writer limited{ mEnds[1], settings };
    for (int i = 0; i < 100; ++i) {
      limited.Write("l", now);
    }
    for (int i = 0; i < 6; ++i) {
      limited.Write("urgent", now, line_priority::Urgent);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 80 + 1 }, limited.Dropped());
    // The reserve is no exemption from the rate over a longer time.
    limited.Write("l", now + milliseconds{ 500 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 80 + 2 }, limited.Dropped());

    line_writer full{ mEnds[1], kNoRateLimit };
    for (std::size_t i = 0; i < 500; ++i) {
      full.Write(Line(i), now);
    }
    const auto dropped = full.Dropped();
    CPPUNIT_ASSERT(dropped > 0);
    full.Write("urgent", now, line_priority::Urgent);
    CPPUNIT_ASSERT_EQUAL(dropped, full.Dropped());
    CPPUNIT_ASSERT(FlushToReader(full).ends_with(" lines\nurgent\n"));
  }

  /// Guards against a line that is written in part and continued by the next one.
  void PartialWriteKeepsLinesWhole()
  {
    std::FILE* file = std::tmpfile();
    CPPUNIT_ASSERT(file != nullptr);
    line_writer writer{ fileno(file), kNoRateLimit };
    const auto previous = std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_FSIZE, &limit));
    // The file takes one line and a half until its limit is raised.
    const rlimit small{ 1'500, limit.rlim_max };
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_FSIZE, &small));
    for (std::size_t i = 0; i < 3; ++i) {
      writer.Write(Line(i), instant{ seconds{ i } });
    }
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_FSIZE, &limit));
    std::signal(SIGXFSZ, previous);
    writer.Write("last", instant{ seconds{ 4 } });
    std::string text(8'192, '\0');
    const auto count = pread(fileno(file), text.data(), text.size(), 0);
    std::fclose(file);
    CPPUNIT_ASSERT(count > 0);
    text.resize(static_cast<std::size_t>(count));
    CPPUNIT_ASSERT_EQUAL(Lines(3) + "last\n", text);
  }

  /// Guards against an exit that waits for a reader that has gone.
  void ClosedReaderDoesNotHoldUpFlush()
  {
    const auto previous = std::signal(SIGPIPE, SIG_IGN);
    line_writer writer{ mEnds[1], kNoRateLimit };
    close(mEnds[0]);
    mEnds[0] = -1;
    writer.Write("line", instant{ seconds{ 1 } });
    const auto began = mClock.Now();
    CPPUNIT_ASSERT(!writer.Flush(seconds{ 20 }, mClock));
    CPPUNIT_ASSERT(mClock.Now() - began < seconds{ 10 });
    std::signal(SIGPIPE, previous);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_writer_test);

} // namespace skylarkwind

#include "skylarkwind/line_writer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

namespace skylarkwind {

using std::chrono::seconds;

class line_writer_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(line_writer_test);
  CPPUNIT_TEST(FullPipeDropsLinesAndSaysSo);
  CPPUNIT_TEST(RateIsBounded);
  CPPUNIT_TEST_SUITE_END();

  int mEnds[2]{};

public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe2(mEnds, O_CLOEXEC)); }
  void tearDown() override
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }

private:
  std::string ReadSome() const
  {
    std::string bytes(1 << 17, '\0');
    const auto count = read(mEnds[0], bytes.data(), bytes.size());
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
  }

  /// Guards against a daemon that stands still because nobody reads its log.
  void FullPipeDropsLinesAndSaysSo()
  {
    line_writer writer{ mEnds[1], { 1e9, 1e9 } };
    const std::string line(1'000, 'x');
    for (int i = 0; i < 500; ++i) {
      writer.Write(line, instant{ seconds{ i } });
    }
    CPPUNIT_ASSERT(writer.Dropped() > 0);
    const auto dropped = writer.Dropped();
    ReadSome();
    writer.Write("after", instant{ seconds{ 600 } });
    CPPUNIT_ASSERT_EQUAL("log: dropped=" + std::to_string(dropped) + " lines\nafter\n", ReadSome());
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_writer_test);

} // namespace skylarkwind

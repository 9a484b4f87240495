#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

/// Runs every registered CppUnit suite. An argument selects one suite or test by name.
int
main(int aArgc, char** aArgv)
{
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  result.addListener(&collector);
  result.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(result, aArgc > 1 ? aArgv[1] : "");

  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  std::cout << collector.runTests() - collector.testFailuresTotal() << " passed, "
            << collector.testFailuresTotal() << " failed\n";
  // A run without tests means that registration broke, which must not pass.
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}

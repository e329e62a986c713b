#include <iostream>

#include <cppunit/TextTestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

// Runs the suites registered under the given names. Without a name nothing would run, which must
// not look like success.
int main(int argc, char** argv)
{
  if (argc < 2)
  {
    std::cerr << "name at least one test suite; ctest -N lists them\n";
    return 2;
  }
  CppUnit::TextTestRunner runner;
  for (int i = 1; i < argc; ++i)
  {
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry(argv[i]).makeTest());
  }
  return runner.run("", false) ? 0 : 1;
}

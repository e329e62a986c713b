set(POLLENYOKE_SANITIZE "" CACHE STRING "Value for -fsanitize, empty for none")
option(POLLENYOKE_FUZZ "Build the libFuzzer targets (needs clang++)" OFF)

add_library(pollenyoke_options INTERFACE)
# GCC warns about designated initializers that leave members at their defaults.
target_compile_options(pollenyoke_options INTERFACE
  -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor -Wold-style-cast
  -Wno-missing-field-initializers)
target_include_directories(pollenyoke_options INTERFACE ${CMAKE_SOURCE_DIR}/Source/Core)
if(POLLENYOKE_SANITIZE)
  # GCC 12 reports false positives of maybe-uninitialized when sanitizers are on.
  target_compile_options(pollenyoke_options INTERFACE
    -fsanitize=${POLLENYOKE_SANITIZE} -fno-omit-frame-pointer -O1
    $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
  if(POLLENYOKE_SANITIZE MATCHES "thread")
    # ThreadSanitizer does not model the stand-alone fences in Boost.Asio; GCC warns about each.
    target_compile_options(pollenyoke_options INTERFACE -Wno-tsan)
  endif()
  target_link_options(pollenyoke_options INTERFACE -fsanitize=${POLLENYOKE_SANITIZE})
endif()

if(POLLENYOKE_FUZZ)
  target_compile_options(pollenyoke_options INTERFACE
    -fsanitize=fuzzer-no-link,undefined,float-cast-overflow
    -fno-sanitize-recover=undefined,float-cast-overflow)
  target_link_options(pollenyoke_options INTERFACE -fsanitize=undefined,float-cast-overflow)
endif()

# pollenyoke_add_library(NAME SOURCES... [DEPENDS targets...])
function(pollenyoke_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(pollenyoke_${name} STATIC ${ARG_SOURCES})
  target_link_libraries(pollenyoke_${name} PUBLIC pollenyoke_options ${ARG_DEPENDS})
endfunction()

# pollenyoke_add_test(NAME SOURCES... [DEPENDS targets...]): one CppUnit program per library. It is
# registered with CTest once per test suite named by CPPUNIT_TEST_SUITE_NAMED_REGISTRATION.
function(pollenyoke_add_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  add_executable(${name}Tests ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/Source/UnitTests/TestMain.cpp)
  target_link_libraries(${name}Tests PRIVATE pollenyoke_options ${ARG_DEPENDS}
    ${CPPUNIT_LIBRARY} ${RAPIDCHECK_LIBRARY})
  target_include_directories(${name}Tests PRIVATE ${CMAKE_SOURCE_DIR}/Source)
  if(POLLENYOKE_SANITIZE MATCHES "thread")
    # No object refers to the library; oneTBB looks for it by name when it first allocates.
    target_link_options(${name}Tests PRIVATE "LINKER:--no-as-needed")
    target_link_libraries(${name}Tests PRIVATE pollenyoke_traced_allocator)
  endif()
  foreach(source IN LISTS ARG_SOURCES)
    file(STRINGS ${source} suites REGEX "CPPUNIT_TEST_SUITE_NAMED_REGISTRATION\\(")
    foreach(line IN LISTS suites)
      string(REGEX REPLACE ".*\"([^\"]+)\".*" "\\1" suite "${line}")
      add_test(NAME ${suite} COMMAND ${name}Tests ${suite})
      set_tests_properties(${suite} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
        ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=200;TSAN_OPTIONS=halt_on_error=1 suppressions=${CMAKE_SOURCE_DIR}/CMake/tsan.supp;UBSAN_OPTIONS=halt_on_error=1")
    endforeach()
  endforeach()
endfunction()

#ifndef DH_TESTS_CUNIT_MAIN_H
#define DH_TESTS_CUNIT_MAIN_H

#include <CUnit/Basic.h>

#include <signal.h>
#include <stdlib.h>

/* cunit_main -- run one suite and return the test program's exit status.
 * SIGPIPE is ignored, so that a write to a closed socket returns an error, as
 * in the daemon, and does not end the process. */
static inline int
cunit_main(const char *name, CU_TestInfo *tests)
{
	CU_SuiteInfo suites[] = {
		{ name, NULL, NULL, NULL, NULL, tests },
		CU_SUITE_INFO_NULL,
	};
	unsigned int failed;

	(void)signal(SIGPIPE, SIG_IGN);
	if (CU_initialize_registry() != CUE_SUCCESS ||
	    CU_register_suites(suites) != CUE_SUCCESS)
		return EXIT_FAILURE;
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failed = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif

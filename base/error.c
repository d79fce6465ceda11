#include "base/error.h"

GQuark
dh_error_quark(void)
{
	return g_quark_from_static_string("dogwoodhub");
}

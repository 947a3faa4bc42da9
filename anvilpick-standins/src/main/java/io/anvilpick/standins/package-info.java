/** The main classes of the stand-ins for the platform and for targets, and of the fault-injecting proxy. */
@NullMarked
package io.anvilpick.standins;

import org.jspecify.annotations.NullMarked;

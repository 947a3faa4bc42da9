/** The programs that run the stand-ins, each as a process of its own. */
@NullMarked
package io.anvilpick.standins;

import org.jspecify.annotations.NullMarked;

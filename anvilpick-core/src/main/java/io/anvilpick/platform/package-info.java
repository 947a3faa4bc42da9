/**
 * The interface to the platform's key-value service and list of VMs.
 */
@NullMarked
package io.anvilpick.platform;

import org.jspecify.annotations.NullMarked;
